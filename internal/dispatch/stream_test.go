package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// slowBody waits for pause before each byte.
type slowBody struct {
	remaining int
	pause     time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.remaining--
	p[0] = 'x'
	return 1, nil
}

// Guards against an upload that is cancelled for its total duration although it makes
// progress, and against a stalled one that never ends.
func TestUploadsAreLimitedByProgress(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		want  problem.Kind
	}{
		{"slow", 3 * time.Second, ""},
		{"stalled", time.Hour, problem.KindStalled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("atelier-01", newRunLog(), uploadThenRespond)
				env := newTestEnv(true, 1, Limits{}, server)
				defer env.close()
				r := newRequest(false)
				r.Body, r.ContentLength = &slowBody{remaining: 20, pause: c.pause}, 20
				text, err := env.holder.handle(t.Context(), r)
				if c.want == "" {
					is.NoErr(err)
					is.Equal(text, strings.Repeat("x", 20))
					return
				}
				is.Equal(problem.From(err).Kind, c.want)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
				time.Sleep(2 * c.pause) // lets the blocked Read of the body return
			})
		})
	}
}

// uploadThenRespond reads the request body and responds with it.
func uploadThenRespond(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	read := make(chan string, 1)
	go func() {
		content, _ := io.ReadAll(r.Body)
		read <- string(content)
	}()
	select {
	case content := <-read:
		s.log.add(r.ID)
		return s.textResponse(r.ID, content), nil
	case <-ctx.Done():
		return nil, connectionLost(problem.KindAnswerLost, ctx.Err())
	}
}

// Guards against a streamed response whose slot is released before its end or never, and
// against one that is cut off at the deadline.
func TestStreamedResponseKeepsItsSlot(t *testing.T) {
	const size = 2 * MaxBufferedResponseBytes
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("shashin-01", newRunLog(), func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
			return s.response(r.ID, &cancellableBody{ctx, strings.NewReader(strings.Repeat("x", size))}, size), nil
		})
		env := newTestEnv(true, 1, Limits{}, server)
		defer env.close()
		for _, complete := range []bool{true, false} {
			response, err := env.holder.dispatcher.Handle(t.Context(), newRequest(true))
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			is.Equal(env.holder.targets[0].Limiter.Running(), 1)
			is.Equal(env.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(1))
			if complete {
				n, err := io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.Equal(n, int64(size))
			}
			is.NoErr(response.Body.Close())
			is.Equal(env.holder.targets[0].Limiter.Running(), 0)
			is.Equal(env.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(0))
		}
	})
}

// cancellableBody fails when its context has ended, as a connection does.
type cancellableBody struct {
	ctx context.Context
	io.Reader
}

func (b *cancellableBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

func (b *cancellableBody) Close() error { return nil }
