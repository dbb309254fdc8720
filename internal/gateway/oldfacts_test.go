package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// maxLeavingTime is how long after the store has acknowledged that a server is leaving it
// may still get requests, by the platform's pages.
const maxLeavingTime = 2 * time.Second

// Guards against requests that reach a leaving server because this instance has not heard
// of the store for longer than such a server may get requests, whoever has placed them.
func TestNothingIsSentByOldFacts(t *testing.T) {
	for name, linked := range map[string]bool{"placed by the holder": true, "placed locally": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry := newRegistry(fleet.KindUpload)
				registry.ConfirmRead(time.Now())
				client := NewSchedulerClient("i", "d", registry, nil)
				if linked {
					client.Attach(&roundRobinLink{client: client, servers: []string{"a", "b", "c"}})
				}
				backends := &scriptedClient{results: []AttemptResult{{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200}}}}
				g := New("d", registry, client, backends, noMetrics{}, nil)
				time.Sleep(maxLeavingTime)
				reply := g.Handle(t.Context(), &Call{ID: "1", Method: "POST", Host: "h", Path: "/p/x", Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
				is.Equal(reply.Outcome, OutcomeNotRun)
				is.Equal(len(backends.sent), 0)
			})
		})
	}
}
