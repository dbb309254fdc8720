package owners

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against ranges that become more with each burst, until their renewals and the record are
// too many, and against needless moves while there are few.
func TestRangesOfCooledKeysAreJoined(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var names []string
	for i := range 80 {
		names = append(names, fmt.Sprintf("s%02d", i))
	}
	table := newHeldTable(t, now, names...)
	run := func(rates KeyRates, steps int) {
		for range steps {
			now = now.Add(250 * time.Millisecond)
			table.Plan(now, service, candidates(names...), rates)
			table.MarkStored(table.PlanVersion())
			for range 3 {
				for _, o := range table.TakeDueOrders(now, listing(names...)) {
					table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
				}
				table.MarkStored(table.PlanVersion())
			}
		}
	}
	highest := 0
	for burst := range 20 {
		rates := ratesByKey{}
		for key := range 60 {
			rates[burst*3000+100+key] = 5
		}
		run(rates, 20)
		run(ratesByKey{}, 20)
		highest = max(highest, len(table.services[service]))
	}
	t.Logf("at most %d ranges", highest)
	is.True(highest <= 5*len(names))
	run(ratesByKey{}, 200)
	is.True(len(table.services[service]) <= maxRangesOnAverage*len(names))
	table.TakeMoves()
	run(ratesByKey{}, 40)
	is.Equal(len(table.TakeMoves()), 0)
	next := 0
	for _, r := range table.OwnedRanges(service) {
		is.Equal(r.From, next)
		next = r.To + 1
	}
	is.Equal(next, NumKeys)
}
