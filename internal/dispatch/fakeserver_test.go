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

// behaviour is how a fake server handles one request.
type behaviour func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error)

// fakeServer is an in-memory backend server.
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

// nextBehaviour returns the scripted behaviours in order, then the default one.
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
func (s *fakeServer) Send(ctx context.Context, _ backend.Order, r *request.Request) (*request.Response, error) {
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
func (s *fakeServer) Grant(context.Context, backend.Grant) (backend.GrantResponse, error) {
	return backend.GrantResponse{}, nil
}
func (s *fakeServer) Load(context.Context) (backend.Load, error) { return backend.Load{}, nil }
func (s *fakeServer) Drain(context.Context, backend.Order) error { return nil }
func (s *fakeServer) Close()                                     {}

func (s *fakeServer) response(id string, body io.ReadCloser, length int64) *request.Response {
	header := textproto.MIMEHeader{}
	header.Set(backend.HeaderIncarnation, *s.incarnation.Load())
	return &request.Response{RequestID: id, Status: 200, Header: header, ContentLength: length, Body: body}
}

func (s *fakeServer) textResponse(id, text string) *request.Response {
	return s.response(id, io.NopCloser(bytes.NewReader([]byte(text))), int64(len(text)))
}

// connectionLost returns the error of a connection that ended after a part of the
// request was written.
func connectionLost(kind problem.Kind, cause error) error {
	return problem.Wrap(cause, kind, outcome.StageWritten, "the connection ended")
}

// respondAfter runs the request and responds after d. If the caller cancels meanwhile,
// the request has run nevertheless.
func respondAfter(d time.Duration) behaviour {
	return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
		s.log.add(r.ID)
		if err := wait(ctx, d); err != nil {
			return nil, connectionLost(problem.KindAnswerLost, err)
		}
		return s.textResponse(r.ID, "response to "+r.ID), nil
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

func refuseConnection(_ context.Context, s *fakeServer, _ *request.Request) (*request.Response, error) {
	return nil, problem.New(problem.KindConnectFailed, outcome.StageConnect, "server %s refuses connections", s.name)
}

func shedRequest(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	return nil, problem.New(problem.KindShed, outcome.StageRefusedByServer, "server %s sheds request %s", s.name, r.ID)
}

// resetBeforeRun resets the connection while the request is sent. The request does not
// run.
func resetBeforeRun(_ context.Context, _ *fakeServer, _ *request.Request) (*request.Response, error) {
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}

// resetAfterRun runs the request and resets the connection before the response.
func resetAfterRun(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}

// neverRespond runs the request and sends no response.
func neverRespond(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	<-ctx.Done()
	return nil, connectionLost(problem.KindAnswerLost, ctx.Err())
}

// headersThenHang runs the request and sends the headers of the response but no body.
func headersThenHang(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	return s.response(r.ID, &hangingBody{ctx}, 10), nil
}

// hangingBody blocks until its context ends.
type hangingBody struct{ ctx context.Context }

func (b *hangingBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *hangingBody) Close() error { return nil }

// truncatedBody runs the request and sends less than the announced Content-Length.
func truncatedBody(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	return s.response(r.ID, io.NopCloser(bytes.NewReader([]byte("short"))), 100), nil
}

// respondToOtherRequest runs the request and responds with the ID of another one.
func respondToOtherRequest(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	return s.textResponse("another", "response to another"), nil
}

// runAfterCallerGone runs the request 1 s after the caller has given up, like a server
// that finds it in a socket buffer.
func runAfterCallerGone(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	<-ctx.Done()
	time.AfterFunc(time.Second, func() { s.log.add(r.ID) })
	return nil, connectionLost(problem.KindAnswerLost, ctx.Err())
}

// crashServer runs the request, resets the connection and restarts the server.
func crashServer(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	s.log.add(r.ID)
	s.restart(*s.incarnation.Load() + "+")
	return nil, connectionLost(problem.KindAnswerLost, errors.New("connection reset"))
}
