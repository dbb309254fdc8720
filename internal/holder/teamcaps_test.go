package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/quorum"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// newCappedCoordinator returns a coordinator of a new holder whose configuration has the team
// "t" with a cap.
func newCappedCoordinator(t *testing.T, limit fleet.Cap) *Coordinator {
	t.Helper()
	c := newPlacingCoordinator(t)
	teams := fleet.NewTeams([]*fleet.Team{{Name: "t", Cap: limit}}, nil)
	c.registry = facts.NewRegistry(func([]byte) (*fleet.Config, error) {
		config := fleet.NewConfig(1, []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{})
		config.Teams = teams
		return config, nil
	}, nil)
	now := time.Now()
	c.registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
	c.registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Service: "s", Address: "a", Slots: 3}}}, now)
	c.epoch, c.startedAt = 2, now
	c.leaseConfirmedAt.Store(&now)
	c.refresh(now)
	return c
}

// ask sends attempts of the team over the link, and returns the decisions by number.
func ask(c *Coordinator, l *link.Local, verdicts <-chan *linkpb.Verdict, up *linkpb.Up, numbers ...uint64) map[uint64]*linkpb.Verdict {
	deadline := time.Second.Microseconds() / 2
	for _, n := range numbers {
		up.Asks = append(up.Asks, &linkpb.Ask{Number: n, Service: "s", Key: placing.NoKey, TargetUs: deadline, DeadlineUs: deadline, Team: "t"})
	}
	l.Send(up)
	c.drainQueue()
	out := map[uint64]*linkpb.Verdict{}
	for range numbers {
		v := <-verdicts
		out[v.Number] = v
	}
	return out
}

func joinForTeam(t *testing.T, c *Coordinator, instance string) (*link.Local, <-chan *linkpb.Verdict) {
	t.Helper()
	verdicts := make(chan *linkpb.Verdict, 16)
	l := link.JoinLocal(c, link.Member{Instance: instance}, link.NewClock(), func(down *linkpb.Down) {
		for _, v := range down.Verdicts {
			verdicts <- v
		}
	})
	t.Cleanup(l.Close)
	return l, verdicts
}

// Guards against a cap that is not kept from the first request of a new holder on, against
// requests placed without the holder that it does not count, and against instances that are
// not told what they may use.
func TestHolderKeepsTeamCaps(t *testing.T) {
	is := is.New(t)
	c := newCappedCoordinator(t, fleet.Cap{Rate: 0.001, Burst: 4})
	l, verdicts := joinForTeam(t, c, "i/1")
	// The instance brings three requests, of which it has placed one already.
	up := &linkpb.Up{
		Allowed:  []*linkpb.Allowed{{Team: "t", Part: 1, Tokens: 3}},
		Finishes: []*linkpb.Finish{{Number: 100, Server: "a", Team: "t"}},
	}
	got := ask(c, l, verdicts, up, 1, 2, 3)
	is.Equal(got[1].Server, "a")
	is.Equal(got[2].Server, "a")
	is.Equal(placing.Reason(got[3].Reason), placing.ReasonTeamCap)
	is.True(got[3].RetryAfterUs > time.Second.Microseconds())
	is.True(got[1].AllowedPerS > 0 && got[1].AllowedPart > 0)
	got = ask(c, l, verdicts, &linkpb.Up{Finishes: []*linkpb.Finish{{Number: 1, Server: "a", Outcome: uint32(placing.Unused)}}}, 4, 5)
	is.Equal(got[4].Server, "a") // what has not run is given back
	is.Equal(placing.Reason(got[5].Reason), placing.ReasonTeamCap)
	got = ask(c, l, verdicts, &linkpb.Up{Allowed: []*linkpb.Allowed{{Team: "t", Part: 1, Tokens: 3}}}, 6)
	is.Equal(placing.Reason(got[6].Reason), placing.ReasonTeamCap) // a second word of the same instance adds nothing
}

// Guards against slots and tokens that stay in use for the queued attempts of an instance whose
// link has ended.
func TestQueuedAttemptsOfLostInstanceUseNothing(t *testing.T) {
	is := is.New(t)
	c := newCappedCoordinator(t, fleet.Cap{Rate: 0.001, Burst: 100})
	lost, _ := joinForTeam(t, c, "lost/1")
	used, verdicts := joinForTeam(t, c, "used/1")
	ask(c, used, verdicts, &linkpb.Up{Allowed: []*linkpb.Allowed{{Team: "t", Part: 1, Tokens: 6}}}, 1, 2, 3)
	deadline := time.Second.Microseconds()
	up := &linkpb.Up{}
	for n := range uint64(2) {
		up.Asks = append(up.Asks, &linkpb.Ask{Number: n, Service: "s", Key: placing.NoKey, TargetUs: deadline, DeadlineUs: deadline, Team: "t"})
	}
	lost.Send(up)
	c.drainQueue()
	lost.Close()
	c.drainQueue()
	finished := &linkpb.Up{}
	for n := range uint64(3) {
		finished.Finishes = append(finished.Finishes, &linkpb.Finish{Number: n + 1, Server: "a"})
	}
	used.Send(finished)
	c.drainQueue()
	got := ask(c, used, verdicts, &linkpb.Up{}, 4, 5, 6)
	for n := uint64(4); n <= 6; n++ {
		is.Equal(got[n].Server, "a")
	}
}

// Guards against requests below the cap that are refused because the bucket of the first team
// with a cap starts empty although the holder has been running without caps.
func TestFirstCapOfRunningHolderStartsFull(t *testing.T) {
	for name, tc := range map[string]struct {
		age  time.Duration
		want int
	}{
		"long enough": {usagecap.NewHolderDelay, 5},
		"the holder before may have told allowances of a newer configuration": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCappedCoordinator(t, fleet.Cap{})
			is.True(c.teamCaps.ledger == nil)
			c.startedAt = c.startedAt.Add(-tc.age)
			snapshot, config := *c.snapshot, *c.snapshot.Config
			config.Teams = fleet.NewTeams([]*fleet.Team{{Name: "t", Cap: fleet.Cap{Rate: 0.001, Burst: 5}}}, nil)
			snapshot.Config = &config
			c.snapshot = &snapshot
			now := time.Now()
			c.refreshTeamCaps(now)
			admitted := 0
			for n := range uint64(10) {
				if _, ok := c.teamCaps.ledger.Reserve(now, usagecap.Request{Instance: "i", Number: n}, "t", false); ok {
					admitted++
				}
			}
			is.Equal(admitted, tc.want)
		})
	}
}

// Guards against a coordinator that does work for caps without a team that has one.
func TestNoLedgerWithoutCaps(t *testing.T) {
	is := is.New(t)
	c := newCappedCoordinator(t, fleet.Cap{})
	is.True(c.teamCaps.ledger == nil)
	c = newCappedCoordinator(t, fleet.Cap{Rate: 1})
	is.True(c.teamCaps.ledger != nil)
}

// Guards against a new holder that uses the part of instances which may still use the
// allowances of its predecessor, and against one that does so for longer than they last.
func TestShareOfTeamCaps(t *testing.T) {
	electedAt := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		epoch           int64
		fleet           quorum.Fleet
		joined          int
		lastHolderEnded bool
		after           time.Duration
		leaseAge        time.Duration
		want            float64
	}{
		"first holder":                    {1, nil, 1, false, 0, 0, 1},
		"part of the fleet has joined":    {3, newFleet(4), 2, false, time.Second, 0, 0.5},
		"the whole fleet has joined":      {3, newFleet(4), 4, false, time.Second, 0, 1},
		"its predecessor has ended":       {3, newFleet(4), 2, true, 10 * time.Second, 0, 0.5},
		"allowances have ended":           {3, newFleet(4), 2, true, 11 * time.Second, 0, 1},
		"its predecessor may go on":       {3, newFleet(4), 2, false, 11 * time.Second, 0, 0.5},
		"its predecessor has surely gone": {3, newFleet(4), 2, false, 33 * time.Second, 0, 1},
		"the record names no fleet":       {3, nil, 3, false, time.Second, 0, 0.75},
		"its lease may have ended":        {3, newFleet(4), 4, true, 30 * time.Second, leaseTTL, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Coordinator{
				epoch: tc.epoch, startedAt: electedAt, predecessorsEndBy: electedAt.Add(maxStoreOutage + maxInheritedGrant),
				table:      owners.NewTable(owners.Record{Epoch: tc.epoch}, "second", electedAt),
				foundFleet: tc.fleet, quorum: quorum.NewTracker(tc.fleet), lastHolderEnded: tc.lastHolderEnded,
				followers: map[*link.Follower]bool{},
			}
			for i := range tc.joined {
				c.followers[newFollower(i)] = true
			}
			now := electedAt.Add(tc.after)
			confirmedAt := now.Add(-tc.leaseAge)
			c.leaseConfirmedAt.Store(&confirmedAt)
			if got := c.capShare(now); got != tc.want {
				t.Errorf("share %v, want %v", got, tc.want)
			}
		})
	}
}
