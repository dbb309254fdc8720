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
	name             string
	log              *runLog
	incarnation      atomic.Pointer[string]
	down             atomic.Bool
	running          atomic.Int64
	maxRunning       atomic.Int64
	mu               sync.Mutex
	script           []behaviour
	defaultBehaviour behaviour
}

func newFakeServer(name string, log *runLog, usual behaviour, script ...behaviour) *fakeServer {
	s := &fakeServer{name: name, log: log, defaultBehaviour: usual, script: script}
	s.restart("1")
	return s
}

func (s *fakeServer) restart(incarnation string) {
	s.incarnation.Store(&incarnation)
}

// nextBehaviour returns the scripted behaviours in order, then the usual one.
func (s *fakeServer) nextBehaviour() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return s.defaultBehaviour
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
	s.maxRunning.Store(max(s.maxRunning.Load(), s.running.Add(1)))
	defer s.running.Add(-1)
	return s.nextBehaviour()(ctx, s, r)
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

func (s *fakeServer) response(id string, body io.ReadCloser, length int64) *request.Answer {
	header := textproto.MIMEHeader{}
	header.Set(backend.HeaderIncarnation, *s.incarnation.Load())
	return &request.Answer{RequestID: id, Status: 200, Header: header, ContentLength: length, Body: body}
}

func (s *fakeServer) textResponse(id, text string) *request.Answer {
	return s.response(id, io.NopCloser(bytes.NewReader([]byte(text))), int64(len(text)))
}

// connectionLost is the error of a connection that ended after a part of the request was sent.
func connectionLost(kind problem.Kind, cause error) error {
	return problem.Wrap(cause, kind, outcome.StageWritten, "the connection ended")
}

// respondAfter runs the request and answers after d. A cancel meanwhile stops
// the wait, not the run.
func respondAfter(d time.Duration) behaviour {
	return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
		s.log.add(r.ID)
		if err := wait(ctx, d); err != nil {
			return nil, connectionLost(problem.KindAnswerLost, err)
		}
		return s.textResponse(r.ID, "answer to "+r.ID), nil
	}
}

func wait(ctx context.Context, d time.Duration) error {
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

func shedRequest(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	return nil, problem.New(problem.KindShed, outcome.StageRefusedByServer, "server %s sheds request %s", s.name, r.ID)
}

// resetBeforeRun ends the connection while the request is sent: the server has not run it.
func resetBeforeRun(_ context.Context, _ *fakeServer, _ *request.Request) (*request.Answer, error) {
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}

// resetAfterRun runs the request and ends the connection before the answer.
func resetAfterRun(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}

// neverRespond runs the request and never answers.
func neverRespond(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	<-ctx.Done()
	return nil, connectionLost(problem.KindAnswerLost, ctx.Err())
}

// headersThenHang answers with a head and no body.
func headersThenHang(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.response(r.ID, &hangingBody{ctx}, 10), nil
}

// hangingBody yields nothing until its context ends.
type hangingBody struct{ ctx context.Context }

func (b *hangingBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *hangingBody) Close() error { return nil }

// truncatedBody announces more than it sends.
func truncatedBody(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.response(r.ID, io.NopCloser(bytes.NewReader([]byte("short"))), 100), nil
}

// respondToOtherRequest answers with the ID of another request.
func respondToOtherRequest(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	return s.textResponse("another", "answer to another"), nil
}

// runAfterCallerGone has the request in a socket buffer and runs it after the caller gave up.
func runAfterCallerGone(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	<-ctx.Done()
	time.AfterFunc(time.Second, func() { s.log.add(r.ID) })
	return nil, connectionLost(problem.KindAnswerLost, ctx.Err())
}

// crashServer runs the request, loses the connection and starts anew.
func crashServer(_ context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	s.log.add(r.ID)
	s.restart(*s.incarnation.Load() + "+")
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}
