package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// streamingClient is a BackendClient whose response has a remainder without end, which
// is cut off when the context of the call ends.
type streamingClient struct {
	// ctx is the context of the last call.
	ctx context.Context
}

func (s *streamingClient) Send(ctx context.Context, _ *fleet.Server, _ *Call, _ time.Time, _ func() bool) AttemptResult {
	s.ctx = ctx
	return AttemptResult{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200, Remainder: silentBody{ctx}, Length: -1}}
}

// silentBody never yields a byte. Its reads end with ctx.
type silentBody struct {
	ctx context.Context
}

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (silentBody) Close() error { return nil }

// Guards against a long response that is read without a bound on its time once the call
// has been handled, and against one that is cut off by the end of the handling itself.
func TestStreamedResponseEndsWithItsCall(t *testing.T) {
	const routeTimeout = 300 * time.Millisecond // of newRegistry
	for name, c := range map[string]struct {
		leaveAfter time.Duration
		want       time.Duration
	}{
		"at the deadline":           {time.Hour, routeTimeout},
		"when the caller has left":  {100 * time.Millisecond, 100 * time.Millisecond},
		"when the response is read": {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				backends := &streamingClient{}
				registry := newRegistry(fleet.KindIdempotent)
				client := NewSchedulerClient("i", "d", registry, nil)
				client.Attach(&roundRobinLink{client: client, servers: []string{"a"}})
				g := newGateway(registry, client, backends, nil)
				caller, leave := context.WithTimeout(t.Context(), c.leaveAfter)
				defer leave()
				start := time.Now()
				reply := g.Handle(caller, &Call{ID: "1", Method: "GET", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: start, Timeout: time.Second, Body: NewBody(nil, 0)})
				is.Equal(reply.Outcome, OutcomeAnswered)
				synctest.Wait()
				is.NoErr(backends.ctx.Err()) // the body can still be read
				if c.want > 0 {
					_, err := io.Copy(io.Discard, reply.Response.Remainder)
					is.True(err != nil)
				}
				is.NoErr(reply.Response.Remainder.Close())
				is.True(backends.ctx.Err() != nil)
				is.Equal(time.Since(start), c.want)
			})
		})
	}
}
