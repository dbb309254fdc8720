package httpbackend_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
)

// controlBody is the body of a complete response to any control call.
const controlBody = `{"clock_ns":1,"incarnation":"i","highest":"1.1","accepting":true,"utilization":0.5}`

// startEndless starts a server that sends response on its first connection and whole on
// each further connection, and returns a client of it. The test fails if a goroutine is
// left at its end.
func startEndless(t *testing.T, limit int64, response rawserver.Response, whole string) (*rawserver.Server, *httpbackend.Server) {
	t.Helper()
	existing := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, existing) })
	raw := rawserver.Start(t, limit, response, rawserver.Response{Start: whole})
	client := httpbackend.New("s-1", raw.Address(), 3)
	t.Cleanup(client.Close)
	return raw, client
}

// controlCalls returns the control calls by name.
func controlCalls() map[string]func(context.Context, *httpbackend.Server) error {
	return map[string]func(context.Context, *httpbackend.Server) error{
		"grant": func(ctx context.Context, s *httpbackend.Server) error {
			_, err := s.Grant(ctx, backend.Grant{Order: order})
			return err
		},
		"drain": func(ctx context.Context, s *httpbackend.Server) error { return s.Drain(ctx, order) },
		"health": func(ctx context.Context, s *httpbackend.Server) error {
			_, err := s.Health(ctx)
			return err
		},
		"load": func(ctx context.Context, s *httpbackend.Server) error {
			_, err := s.Load(ctx)
			return err
		},
	}
}

// Guards against a control call that counts as acknowledged, or as refused for a higher
// token, because of a response without end; and against one that keeps its connection
// and goroutines.
func TestEndlessResponseToControlCallFails(t *testing.T) {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(controlBody), controlBody)
	for _, status := range []int{200, 409} {
		responses := rawserver.Endless(status, "X-A: a")
		head := fmt.Sprintf("HTTP/1.1 %d Text\r\n", status)
		responses = append(responses,
			rawserver.Response{Name: "spaces after a value", Start: head + "Content-Length: 1099511627776\r\n\r\n" + controlBody, Unit: " "},
			rawserver.Response{Name: "values", Start: head + "\r\n", Unit: controlBody},
			rawserver.Response{Name: "silence after a value", Start: head + "\r\n" + controlBody},
			rawserver.Response{Name: "silence in a status line", Start: "HTTP/1.1 200"},
			rawserver.Response{Name: "silence in a header line", Start: head + "X-A"},
		)
		for _, c := range responses {
			for name, call := range controlCalls() {
				if name == "drain" && c.Name == "responses to other requests" {
					continue // the first of them is a complete response to a drain
				}
				t.Run(fmt.Sprintf("%d, %s, %s", status, c.Name, name), func(t *testing.T) {
					is := is.New(t)
					raw, client := startEndless(t, rawserver.FloodLimit, c, whole)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if c.Unit == "" && !c.Long {
						go func() {
							<-raw.Requests()
							cancel()
						}()
					}
					err := call(ctx, client)
					is.True(errors.Is(err, httpbackend.ErrControl))
					is.True(!errors.Is(err, backend.ErrHigherToken))
					raw.AwaitClose(t)
					is.NoErr(call(t.Context(), client)) // the next call is not affected
				})
			}
		}
	}
}
