package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// newCappedRegistry returns the facts of a service with two servers and the team "t" with a cap.
func newCappedRegistry(limit fleet.Cap) *facts.Registry {
	registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
		config := fleet.NewConfig(1, []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{})
		config.Teams = fleet.NewTeams([]*fleet.Team{{Name: "t", Cap: limit}}, nil)
		return config, nil
	}, nil)
	now := time.Now()
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
	registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Service: "s", Slots: 1000}}}, now)
	registry.ConfirmRead(now)
	return registry
}

// sentLink is a link to a holder that says nothing.
type sentLink struct {
	mu   sync.Mutex
	sent []*linkpb.Up
}

func (l *sentLink) Send(up *linkpb.Up) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, up)
	return true
}
func (l *sentLink) Done() <-chan struct{}      { return nil }
func (l *sentLink) EncodeTime(time.Time) int64 { return 0 }
func (l *sentLink) Close()                     {}

func placeForTeam(client *SchedulerClient) placing.Decision {
	now := time.Now()
	return client.placeLocally(context.Background(), placing.Attempt{
		AttemptID: placing.AttemptID{Instance: "i", Number: client.lastNumber.Add(1)}, Service: "s", Key: placing.NoKey, Team: "t", Deadline: now.Add(time.Second),
	})
}

// countAdmitted places up to count requests locally, each of which is answered.
func countAdmitted(client *SchedulerClient, count int) int {
	n := 0
	for range count {
		d := placeForTeam(client)
		if d.Server != "" {
			n++
			client.Complete(placing.Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: placing.Answered})
		}
	}
	return n
}

// Guards against an instance without a holder that lifts the cap, against one that does not
// use its allowance, and against credit of requests that have not run which is lost.
func TestInstanceWithoutHolderKeepsTeamCaps(t *testing.T) {
	is := is.New(t)
	client := NewSchedulerClient("i", "d", newCappedRegistry(fleet.Cap{Rate: 0.01, Burst: 10}), nil)
	is.True(countAdmitted(client, 100) <= 1) // a tenth of the burst, of many instances
	client.local.teams.tell(time.Now(), teamsOf(client.registry.Snapshot()), "t", usagecap.Allowance{Rate: 0.005, Tokens: 4, Burst: 5, Part: 0.5})
	d := placeForTeam(client)
	is.Equal(d.Server, "a")
	client.Complete(placing.Completion{AttemptID: d.AttemptID, Server: "a", Outcome: placing.Unused})
	admitted := countAdmitted(client, 100)
	is.Equal(admitted, 4) // the unused one is given back
	d = placeForTeam(client)
	is.Equal(d.Reason, placing.ReasonTeamCap)
	is.True(d.RetryAfter > 0 && d.RetryAfter <= 2*time.Second)
}

// Guards against requests placed beside a slow holder that it never counts, and against
// holdings that are not handed to the next one.
func TestHolderIsToldOfLocalUse(t *testing.T) {
	is := is.New(t)
	client := NewSchedulerClient("i", "d", newCappedRegistry(fleet.Cap{Rate: 0.01, Burst: 10}), nil)
	client.local.teams.tell(time.Now(), teamsOf(client.registry.Snapshot()), "t", usagecap.Allowance{Rate: 0.005, Tokens: 4, Burst: 5, Part: 0.25, Need: 0.5})
	l := &sentLink{}
	client.Attach(l)
	is.Equal(len(l.sent), 1)
	is.Equal(l.sent[0].Allowed[0].Team, "t")
	is.Equal(l.sent[0].Allowed[0].Part, 0.5)
	is.Equal(l.sent[0].Allowed[0].Tokens, 4.0)
	for _, tc := range []struct {
		outcome placing.Outcome
		team    string
	}{{placing.Answered, "t"}, {placing.Lost, "t"}, {placing.Shed, ""}, {placing.Unreached, ""}} {
		d := placeForTeam(client)
		is.Equal(d.Server, "a")
		client.Complete(placing.Completion{AttemptID: d.AttemptID, Server: "a", Outcome: tc.outcome})
		is.Equal(l.sent[len(l.sent)-1].Finishes[0].Team, tc.team)
		client.local.failures.servers.Clear() // a server that fails is spared otherwise
	}
}

// Guards against an allowance that arrives with a decision and is not kept.
func TestAllowanceArrivesWithDecisions(t *testing.T) {
	is := is.New(t)
	client := NewSchedulerClient("i", "d", newCappedRegistry(fleet.Cap{Rate: 0.01, Burst: 10}), nil)
	p := &pendingAttempt{decision: make(chan placing.Decision, 1), team: "t"}
	client.pending.Store(uint64(1), p)
	_, onDown := client.NewReceiver()
	onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: 1, Server: "a", AllowedPerS: 0.005, AllowedNow: 3, AllowedBurst: 5, AllowedPart: 0.5}}})
	<-p.decision
	is.Equal(countAdmitted(client, 100), 3)
}

// Guards against a decision that arrives after its attempt has been placed locally, and whose
// report as unused gives back the token of the local attempt or frees its slot.
func TestLateDecisionKeepsLocalAttempt(t *testing.T) {
	is := is.New(t)
	client := NewSchedulerClient("i", "d", newCappedRegistry(fleet.Cap{Rate: 0.01, Burst: 10}), nil)
	client.local.teams.tell(time.Now(), teamsOf(client.registry.Snapshot()), "t", usagecap.Allowance{Rate: 0.005, Tokens: 1, Burst: 5, Part: 0.5})
	l := &sentLink{}
	client.Attach(l)
	d := placeForTeam(client)
	is.Equal(d.Server, "a")
	_, onDown := client.NewReceiver()
	onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: d.AttemptID.Number, Server: "b"}}})
	unused := l.sent[len(l.sent)-1].Finishes[0]
	is.Equal(unused.Server, "b")
	is.Equal(unused.Team, "")
	is.Equal(client.local.inFlightCounter("a").Load(), int64(1))
	is.Equal(placeForTeam(client).Reason, placing.ReasonTeamCap)
	client.Complete(placing.Completion{AttemptID: d.AttemptID, Server: "a", Outcome: placing.Answered})
	is.Equal(l.sent[len(l.sent)-1].Finishes[0].Team, "t")
	is.Equal(client.local.inFlightCounter("a").Load(), int64(0))
}

// Guards against a refusal by the cap that the caller takes for a lack of room, and against
// one that claims that a request has not run which may have.
func TestOutcomeOfCapRefusal(t *testing.T) {
	is := is.New(t)
	state := callState{}
	reply := state.refusalReply(placing.Decision{Reason: placing.ReasonTeamCap, RetryAfter: 1500 * time.Millisecond})
	is.Equal(reply.Outcome, OutcomeOverCap)
	is.Equal(reply.RetryAfter, 1500*time.Millisecond)
	state.mayHaveRun = true
	is.Equal(state.refusalReply(placing.Decision{Reason: placing.ReasonTeamCap}).Outcome, OutcomeUnknown)
}

// Guards against refused calls of a team that are not counted.
func TestCapRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	var r capRefusals
	now := time.Now()
	is.Equal(r.add(now, "t"), int64(1))
	is.Equal(r.add(now, "t"), int64(0))
	is.Equal(r.add(now, "u"), int64(1))
	is.Equal(r.add(now.Add(capLogInterval), "t"), int64(2))
}

// Guards against work for caps on the path of a request without teams.
func TestNoBucketsWithoutTeams(t *testing.T) {
	is := is.New(t)
	reply := handleCall(t, fleet.KindIdempotent, newAnsweringClient(), context.Background())
	is.Equal(reply.Response.Status, http.StatusOK)
	is.Equal(len(NewSchedulerClient("i", "d", newRegistry(fleet.KindIdempotent), nil).local.teams.holdings(time.Now(), nil)), 0)
}
