package crashes

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against instances that do not know a request that is refused, or count a loss that
// was excused, and against heartbeats that repeat what all know.
func TestAnnouncerTellsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	var a Announcer
	m.Record(loss(9, 1, start), start)
	is.Equal(len(a.Next(m, start, 10)), 0) // a single loss is known to those who count it
	m.Record(loss(9, 2, start), start)
	is.Equal(len(a.Next(m, start, 10)), 2)
	is.Equal(len(a.Next(m, start, 10)), 0)
	m.Record(loss(8, 3, start), start)
	is.Equal(len(a.Next(m, start, 10)), 0)
	m.Excuse(8, 3)
	is.Equal(a.Next(m, start, 10), []Loss{{Content: 8, ID: 3, At: start, Excused: true}})
}

// Guards against changes that are never announced because there were too many at once.
func TestAnnouncerGoesOnAfterItsLimit(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	var a Announcer
	for n := range uint64(25) {
		m.Record(loss(n, 2*n, start), start)
		m.Record(loss(n, 2*n+1, start), start)
	}
	told := map[uint64]bool{}
	for _, want := range []int{20, 20, 10, 0} {
		losses := a.Next(m, start, 10)
		is.Equal(len(losses), want)
		for _, l := range losses {
			told[l.Content] = true
		}
	}
	is.Equal(len(told), 25)
}
