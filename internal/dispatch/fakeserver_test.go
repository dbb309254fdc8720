package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// behaviour is how a fake server treats one request.
type behaviour func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error)

// fakeServer is a backend server in memory.
type fakeServer struct {
	name        string
	log         *runLog
	incarnation atomic.Pointer[string]
	down        atomic.Bool
	running     atomic.Int64
	most        atomic.Int64
	mu          sync.Mutex
	script      []behaviour
	usual       behaviour
}

func newFakeServer(name string, log *runLog, usual behaviour, script ...behaviour) *fakeServer {
	s := &fakeServer{name: name, log: log, usual: usual, script: script}
	s.restart("1")
	return s
}

func (s *fakeServer) restart(incarnation string) {
	s.incarnation.Store(&incarnation)
}

// next returns the scripted behaviours in order, then the usual one.
func (s *fakeServer) next() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return s.usual
	}
	first := s.script[0]
	s.script = s.script[1:]
	return first
}

// Send implements backend.Server.
func (s *fakeServer) Send(ctx context.Context, _ backend.Order, r *request.Request) (*request.Answer, error) {
	if s.down.Load() {
		return refuseConnection(ctx, s, r)
	}
	s.most.Store(max(s.most.Load(), s.running.Add(1)))
	defer s.running.Add(-1)
	return s.next()(ctx, s, r)
}

// Health implements backend.Server.
func (s *fakeServer) Health(ctx context.Context) (backend.Health, error) {
	if s.down.Load() {
		_, err := refuseConnection(ctx, s, &request.Request{})
		return backend.Health{}, err
	}
	return backend.Health{Accepting: true, Incarnation: *s.incarnation.Load()}, nil
}

// Grant, Load, Drain and Close implement backend.Server; the dispatcher does not call them.
func (s *fakeServer) Grant(context.Context, backend.Grant) (backend.GrantAnswer, error) {
	return backend.GrantAnswer{}, nil
}
func (s *fakeServer) Load(context.Context) (backend.Load, error) { return backend.Load{}, nil }
func (s *fakeServer) Drain(context.Context, backend.Order) error { return nil }
func (s *fakeServer) Close()                                     {}

func (s *fakeServer) answer(id string, body io.ReadCloser, length int64) *request.Answer {
	header := textproto.MIMEHeader{}
	header.Set(backend.HeaderIncarnation, *s.incarnation.Load())
	return &request.Answer{RequestID: id, Status: 200, Header: header, ContentLength: length, Body: body}
}

func (s *fakeServer) text(id, text string) *request.Answer {
	return s.answer(id, io.NopCloser(bytes.NewReader([]byte(text))), int64(len(text)))
}

// written is the error of a connection that ended after a part of the request was sent.
func written(kind problem.Kind, cause error) error {
	return problem.Wrap(cause, kind, outcome.StageWritten, "the connection ended")
}

// answerAfter runs the request and answers after d. A cancel meanwhile stops
// the wait, not the run.
func answerAfter(d time.Duration) behaviour {
	return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
		s.log.add(r.ID)
		if err := pause(ctx, d); err != nil {
			return nil, written(problem.KindAnswerLost, err)
		}
		return s.text(r.ID, "answer to "+r.ID), nil
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func refuseConnection(_ context.Context, s *fakeServer, _ *request.Request) (*request.Answer, error) {
	return nil, problem.New(problem.KindConnectFailed, outcome.StageConnect, "server %s refuses connections", s.name)
}

func shed(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	return nil, problem.New(problem.KindShed, outcome.StageRefusedByServer, "server %s sheds request %s", s.name, r.ID)
}

// resetWithin ends the connection while the request is sent: the server has not run it.
func resetWithin(_ context.Context, _ *fakeServer, _ *request.Request) (*request.Answer, error) {
	return nil, written(problem.KindAnswerLost, errors.New("connection reset"))
}

// resetAfter runs the request and ends the connection before the answer.
func resetAfter(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return nil, written(problem.KindAnswerLost, errors.New("connection reset"))
}

// silence runs the request and never answers.
func silence(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	<-ctx.Done()
	return nil, written(problem.KindAnswerLost, ctx.Err())
}

// headersThenSilence answers with a head and no body.
func headersThenSilence(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.answer(r.ID, &silentBody{ctx}, 10), nil
}

// silentBody yields nothing until its context ends.
type silentBody struct{ ctx context.Context }

func (b *silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *silentBody) Close() error { return nil }

// shortBody announces more than it sends.
func shortBody(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.answer(r.ID, io.NopCloser(bytes.NewReader([]byte("short"))), 100), nil
}

// crossed answers with the ID of another request.
func crossed(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.text("another", "answer to another"), nil
}

// runsAfterGiveUp has the request in a socket buffer and runs it after the caller gave up.
func runsAfterGiveUp(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	<-ctx.Done()
	time.AfterFunc(time.Second, func() { s.log.add(r.ID) })
	return nil, written(problem.KindAnswerLost, ctx.Err())
}

// crash runs the request, loses the connection and starts anew.
func crash(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	s.restart(*s.incarnation.Load() + "+")
	return nil, written(problem.KindAnswerLost, errors.New("connection reset"))
}
