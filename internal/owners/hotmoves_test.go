package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a key that no server can carry and that is moved again and again, which
// interrupts it each time, and against other keys that stay with its owner.
func TestKeyThatNoServerCanCarryMovesOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d"}
	table := newHeldTable(t, now, names...)
	const hot = 10
	rates := ratesByKey{hot: 100}
	for _, r := range table.services[service] {
		rates[r.From+500], rates[r.To-500] = 2, 2
	}
	moves, others := 0, 0
	for step := range 120 {
		now = now.Add(250 * time.Millisecond)
		servers := candidates(names...)
		for i := range servers {
			servers[i].ServiceTime = 0.1
			if (step/20)%4 == i { // another server is the fastest every 5 s
				servers[i].ServiceTime = 0.05
			}
		}
		table.Plan(now, service, servers, rates)
		for _, m := range table.TakeMoves() {
			if m.Contains(hot) {
				moves++
				is.Equal(m.Size(), 1)
			} else if m.Reason == MoveBusy {
				others++
			}
		}
		table.MarkStored(table.PlanVersion())
		for _, o := range table.TakeDueOrders(now, listing(names...)) {
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	is.Equal(moves, 1)
	is.True(others >= 1)
	owner, _ := table.Owner(service, hot)
	for key, rate := range rates {
		if name, _ := table.Owner(service, key); name == owner && key != hot {
			t.Errorf("the owner of the hot key has key %d with %.0f/s as well", key, rate)
		}
	}
}
