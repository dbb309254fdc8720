package membudget

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against large requests that use up what is reserved for usual ones, a kind that
// takes all, and a connection that takes what the others need.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	l := LimitsFor(144 << 20)
	is.Equal(l.Total, int64(36<<20))
	is.Equal(l.Large, int64(27<<20))
	is.Equal(LimitsFor(536<<20).Total, int64(maxTotal))
	is.Equal(l.PerKind[ReadAhead], l.Large/2)

	is.Equal(l.decideSmall(usage{total: l.Large}, 8<<10), granted)
	is.Equal(l.decideSmall(usage{total: l.Total - 1}, 1), granted)
	is.Equal(l.decideSmall(usage{total: l.Total}, 1), exhausted)

	is.Equal(l.decideLarge(usage{total: l.Large - 5}, ResponseHeads, 5), granted)
	is.Equal(l.decideLarge(usage{total: l.Large - 5}, ResponseHeads, 6), exhausted)
	is.Equal(l.decideLarge(usage{total: l.Large / 2, kind: l.Large / 2}, ResponseHeads, 1), shareUsed)

	is.Equal(l.decideElastic(usage{}, ReadAhead, l.Large/2), granted)
	is.Equal(l.decideElastic(usage{total: l.Large / 2, kind: 1, connection: 1}, ReadAhead, l.Large/4-1), granted)
	is.Equal(l.decideElastic(usage{total: l.Large / 2, kind: 1, connection: 1}, ReadAhead, l.Large/4), shareUsed)
	is.Equal(l.decideElastic(usage{total: l.Large, connection: 0}, ReadAhead, 1), exhausted)
}

// Guards against read-ahead of a crowd of slow callers of large responses that leaves
// nothing for others, or that goes to the first of them only.
func TestSlowCallersOfLargeResponsesShareTheMemory(t *testing.T) {
	for _, callers := range []int{1, 4, 40, 400} {
		l := LimitsFor(144 << 20)
		const chunk = 16 << 10
		held := make([]int64, callers)
		var total int64
		for grew := true; grew; {
			grew = false
			for n := range held { // each takes one chunk in turn
				if l.decideElastic(usage{total: total, kind: total, connection: held[n]}, ReadAhead, chunk) == granted {
					held[n] += chunk
					total += chunk
					grew = true
				}
			}
		}
		least, most := held[0], held[0]
		for _, n := range held {
			least, most = min(least, n), max(most, n)
		}
		if total > l.PerKind[ReadAhead] || most-least > chunk {
			t.Errorf("%d callers hold %d bytes, between %d and %d each", callers, total, least, most)
		}
		if callers == 4 && least < 1<<20 {
			t.Errorf("a few callers get %d bytes each, less than a usual large response", least)
		}
	}
}
