package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

var errBrokenConnection = errors.New("the connection broke")

// queueingLink is a link to a holder that keeps every attempt waiting.
type queueingLink struct{ client *SchedulerClient }

func (l *queueingLink) Send(up *linkpb.Up) bool {
	for _, a := range up.Asks {
		_, onDown := l.client.NewReceiver()
		go onDown(&linkpb.Down{Waiting: []uint64{a.Number}})
	}
	return true
}
func (l *queueingLink) Done() <-chan struct{}      { return nil }
func (l *queueingLink) EncodeTime(time.Time) int64 { return 0 }
func (l *queueingLink) Close()                     {}

// Guards against calls that leave no line in the log when the instance ends first, against
// a line or a reply that claims more than is known about them, and against a line that
// blames the caller if its connection ended for another reason.
func TestInterruptedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		queued bool
		cause  error
		want   Outcome
		detail string
	}{
		"at a server":                    {false, ErrInstanceEnded, OutcomeUnknown, ErrInstanceEnded.Error()},
		"waiting for a server":           {true, ErrInstanceEnded, OutcomeNotRun, ErrInstanceEnded.Error()},
		"at a server, caller gone":       {false, nil, OutcomeCallerGone, "abandoned: reset"},
		"waiting, caller gone":           {true, nil, OutcomeCallerGone, "overload"},
		"at a server, connection broken": {false, errBrokenConnection, OutcomeCallerGone, "the connection broke; abandoned: reset"},
		"waiting, connection broken":     {true, errBrokenConnection, OutcomeCallerGone, "the connection broke"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry := newRegistry(fleet.KindNonIdempotent)
				client := NewSchedulerClient("i", "d", registry, nil)
				if c.queued {
					client.Attach(&queueingLink{client: client})
				} else {
					client.Attach(&roundRobinLink{client: client, servers: []string{"a"}})
				}
				out := &bytes.Buffer{}
				log := events.NewLogger(out)
				g := newGateway(registry, client, &scriptedClient{results: []AttemptResult{{Outcome: placing.Abandoned, Detail: "reset"}}}, log)
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(50*time.Millisecond, func() {
					is.Equal(g.InProgress(), 1)
					cancel(c.cause)
				})
				reply := g.Handle(ctx, &Call{ID: "1", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
				is.Equal(reply.Outcome, c.want)
				is.Equal(reply.Detail, c.detail)
				is.Equal(g.InProgress(), 0)
				log.Close()
				is.True(bytes.Contains(out.Bytes(), []byte(`"outcome":"`+c.want.String()+`"`)))
				is.True(bytes.Contains(out.Bytes(), []byte(`"detail":"`+c.detail+`"`)))
				is.True(bytes.Contains(out.Bytes(), []byte(`"limit_ms":300`)))
			})
		})
	}
}
