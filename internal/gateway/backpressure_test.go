package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// recordingLink is a roundRobinLink that records the messages of the instance.
type recordingLink struct {
	roundRobinLink
	sent []*linkpb.Up
}

func (l *recordingLink) Send(up *linkpb.Up) bool {
	l.sent = append(l.sent, up)
	return l.roundRobinLink.Send(up)
}

// reports returns how many attempts were reported to have ended with the outcome.
func (l *recordingLink) reports(outcome placing.Outcome) int {
	n := 0
	for _, up := range l.sent {
		for _, f := range up.Finishes {
			if placing.Outcome(f.Outcome) == outcome {
				n++
			}
		}
	}
	return n
}

// leavingNames returns the servers that the messages say are leaving.
func (l *recordingLink) leavingNames() []string {
	var out []string
	for _, up := range l.sent {
		for _, s := range up.Backpressure {
			if s.Leaving {
				out = append(out, s.Name)
			}
		}
	}
	return out
}

// Guards against a request that is sent to a server, by a decision of a holder that does
// not know it yet, after this instance has passed on that the server is leaving. The
// request has not run, so it is placed again.
func TestDecisionForALeavingServerIsTurnedDown(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindNonIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	l := &recordingLink{roundRobinLink: roundRobinLink{client: client, servers: []string{"a", "b"}}}
	client.Attach(l)
	client.ObserveSignal(fleet.Incarnation{Name: "a"}, backpressure.Signal{Leaving: true})
	is.Equal(l.leavingNames(), []string{"a"}) // the holder is told at once
	backends := newAnsweringClient()
	g := newGateway(registry, client, backends, nil)
	reply := g.Handle(t.Context(), &Call{ID: "1", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
	is.Equal(reply.Outcome, OutcomeAnswered)
	is.Equal(backends.sent, []string{"b"})
	is.Equal(l.leavingNames(), []string{"a", "a"}) // and again, as it did not know
}

// Guards against a new holder that does not learn which servers have said that they are
// leaving, and against local placement there while no holder can be reached.
func TestLeavingServersOutliveTheHolder(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindNonIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	client.ObserveSignal(fleet.Incarnation{Name: "a"}, backpressure.Signal{Leaving: true})
	client.ObserveSignal(fleet.Incarnation{Name: "b"}, backpressure.Signal{Leaving: true})
	for range maxLocalInFlight {
		is.Equal(client.Place(t.Context(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: time.Now().Add(time.Second)}).Server, "c")
	}
	l := &recordingLink{roundRobinLink: roundRobinLink{client: client, servers: []string{"c"}}}
	client.Attach(l)
	is.Equal(len(l.leavingNames()), 2)
}

// Guards against requests to a server that has asked this instance for a pause, by a
// decision of the holder that was made before or by local placement.
func TestPausedServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindNonIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	for _, name := range []string{"a", "b"} {
		client.ObserveSignal(fleet.Incarnation{Name: name}, backpressure.Signal{Pause: time.Minute})
	}
	is.Equal(client.Place(t.Context(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: time.Now().Add(time.Second)}).Server, "c")
	l := &recordingLink{roundRobinLink: roundRobinLink{client: client, servers: []string{"a", "c"}}}
	client.Attach(l)
	is.Equal(len(l.sent[0].Backpressure), 2) // the holder is told when the instance joins it
	is.True(l.sent[0].Backpressure[0].PauseUs > 0)
	backends := newAnsweringClient()
	g := newGateway(registry, client, backends, nil)
	reply := g.Handle(t.Context(), &Call{ID: "1", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
	is.Equal(reply.Outcome, OutcomeAnswered)
	is.Equal(backends.sent, []string{"c"})
}
