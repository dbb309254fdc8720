package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// fakeProber answers each health check with the same cold start, and counts the checks.
type fakeProber struct {
	cold    time.Duration
	name    string
	serving bool
	checks  int
}

func (p *fakeProber) Health(context.Context, fleet.Server, string) (fleet.Health, error) {
	p.checks++
	return fleet.Health{Server: p.name, ColdRemaining: p.cold, Serving: p.serving}, nil
}

// Guards against instances that together overload a cold server while neither the
// holder nor the store can be reached, and against health checks that are not needed
// because the store was read recently.
func TestLocalPlacementChecksServerHealth(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		health fakeProber
		placed bool
		heard  bool
		checks int
	}{
		{"store read recently", time.Second, fakeProber{name: "a", cold: time.Second}, true, false, 0},
		{"store unreachable, server warm", 2 * time.Second, fakeProber{name: "a", serving: true}, true, true, 1},
		{"store unreachable, server warm and leaving", 2 * time.Second, fakeProber{name: "a"}, true, false, 1},
		{"store unreachable, server cold", 2 * time.Second, fakeProber{name: "a", cold: time.Second, serving: true}, false, false, 1},
		{"store unreachable, another server at the address", 2 * time.Second, fakeProber{name: "x", cold: time.Second, serving: true}, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
				return fleet.NewConfig(1, []*fleet.Service{{Name: "s", HealthPath: "/health", ColdRate: 5}}, nil, fleet.Limits{}), nil
			}, nil)
			registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
			registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Service: "s", Slots: 3}}}, now)
			registry.ConfirmRead(now.Add(-c.age))
			client := NewSchedulerClient("i", "d", registry, &c.health)
			for range 2 * maxLocalInFlight { // a refused attempt must not count as in flight
				v := client.Place(context.Background(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: now.Add(time.Second)})
				is.Equal(v.Server != "", c.placed)
				is.Equal(!v.HeardAt.IsZero(), c.heard) // else the server is asked again
				if !c.placed {
					is.Equal(v.Reason, placing.ReasonCold)
				} else {
					client.Complete(placing.Completion{AttemptID: v.AttemptID, Server: v.Server, Outcome: placing.Answered})
				}
			}
			is.Equal(c.health.checks, 2*maxLocalInFlight*c.checks)
		})
	}
}

// Guards against the same for an instance without a holder.
func TestLocalPlacementAvoidsServersThatTakeNoRequest(t *testing.T) {
	for _, outcome := range []placing.Outcome{placing.Misdirected, placing.Unreached} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			registry := facts.NewRegistry(nil, nil)
			var listing fleet.Listing
			for _, name := range []string{"a", "b", "c"} {
				listing.Servers = append(listing.Servers, fleet.Server{Incarnation: fleet.Incarnation{Name: name}, Service: "s", Slots: 3})
			}
			registry.UpdateListing(listing, now)
			local := newLocalScheduler("d", registry, func() int { return 3 })
			failed := 0
			for n := range uint64(200) { // for 2 s
				now = now.Add(10 * time.Millisecond)
				d := local.place(now, placing.Attempt{AttemptID: placing.AttemptID{Number: n}, Service: "s", Key: placing.NoKey})
				completion := placing.Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: placing.Answered}
				if d.Server == "c" {
					failed++
					completion.Outcome = outcome
				}
				local.complete(now, completion)
			}
			is.True(failed >= 1)
			is.True(failed <= 5)
		})
	}
}

// Guards against a hot key whose owner gets requests from all instances while none has a
// holder, until it resets connections: their outcome is then unknown, and their callers
// may not send them again.
func TestHotKeyWithoutAHolderIsRefusedNotLost(t *testing.T) {
	is := is.New(t)
	const (
		instances = 90
		slots     = 6
		capacity  = 30 // running and queued requests; the server resets the connections of further ones
		perSecond = 200
		work      = 370 * time.Millisecond
	)
	now := time.Now()
	registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
		return fleet.NewConfig(1, []*fleet.Service{{Name: "s", Keyed: true}}, nil, fleet.Limits{}), nil
	}, nil)
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
	registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Service: "s", Slots: slots}}}, now)
	registry.UpdateOwners(map[string][]owners.OwnedRange{"s": {{Interval: owners.Interval{From: 0, To: owners.NumKeys - 1}, Owner: "a", Held: true}}}, 1)
	var schedulers []*localScheduler
	for range instances {
		schedulers = append(schedulers, newLocalScheduler("d", registry, func() int { return instances }))
	}
	type running struct {
		by  *localScheduler
		id  placing.AttemptID
		end time.Time
	}
	var queue []running
	lost, answered := 0, 0
	for n := range uint64(3 * perSecond) {
		now = now.Add(time.Second / perSecond)
		for len(queue) > 0 && !now.Before(queue[0].end) {
			queue[0].by.complete(now, placing.Completion{AttemptID: queue[0].id, Server: "a", Outcome: placing.Answered})
			queue, answered = queue[1:], answered+1
		}
		by, id := schedulers[(n*7919)%instances], placing.AttemptID{Number: n}
		if by.place(now, placing.Attempt{AttemptID: id, Service: "s", Key: 5}).Server == "" {
			continue
		}
		if len(queue) >= capacity {
			lost++
			by.complete(now, placing.Completion{AttemptID: id, Server: "a", Outcome: placing.Lost})
			continue
		}
		start := now
		if len(queue) >= slots {
			start = queue[len(queue)-slots].end
		}
		queue = append(queue, running{by, id, start.Add(work)})
	}
	t.Logf("%d requests: %d lost, %d answered", 3*perSecond, lost, answered)
	is.True(lost <= 3*perSecond/2)
	is.True(answered >= 30) // of 48 that the slots allow
}
