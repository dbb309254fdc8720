package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// fakeProber answers health checks with the same cold start.
type fakeProber struct {
	cold   time.Duration
	name   string
	checks int
}

func (t *fakeProber) Health(context.Context, fleet.Server, string) (fleet.Health, error) {
	t.checks++
	return fleet.Health{Server: t.name, ColdFor: t.cold}, nil
}

// Guards against instances that, without a holder and without the store, send a
// cold server more than it bears together, and against checks while the store tells.
func TestAloneAsksAServerBeforeItIsUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		health fakeProber
		placed bool
		checks int
	}{
		{"store has told lately", time.Second, fakeProber{name: "a", cold: time.Second}, true, 0},
		{"store silent, server warm", 2 * time.Second, fakeProber{name: "a"}, true, 1},
		{"store silent, server cold", 2 * time.Second, fakeProber{name: "a", cold: time.Second}, false, 1},
		{"store silent, another server at the address", 2 * time.Second, fakeProber{name: "x", cold: time.Second}, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := facts.NewBoard(func([]byte) (*fleet.Config, error) {
				return fleet.NewConfig(1, []*fleet.Service{{Name: "s", HealthPath: "/health", ColdRate: 5}}, nil, fleet.Limits{}), nil
			}, nil)
			b.Orders(fleet.Orders{Config: []byte("c")}, now)
			b.Listed(fleet.Listing{Servers: []fleet.Server{{Life: fleet.Life{Name: "a"}, Service: "s", Slots: 3}}}, now)
			b.Confirm(now.Add(-c.age))
			desk := NewSchedulerClient("i", "d", b, &c.health)
			for range 2 * maxLocalInFlight { // a refused request takes no place
				v := desk.Place(context.Background(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: now.Add(time.Second)})
				is.Equal(v.Server != "", c.placed)
				if !c.placed {
					is.Equal(v.Reason, placing.ReasonCold)
				} else {
					desk.Complete(placing.Completion{AttemptID: v.AttemptID, Server: v.Server, Outcome: placing.Answered})
				}
			}
			is.Equal(c.health.checks, 2*maxLocalInFlight*c.checks)
		})
	}
}
