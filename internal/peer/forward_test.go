package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

type quietMeter struct{}

func (quietMeter) Sent(string, int)     {}
func (quietMeter) Received(string, int) {}

type handlerFunc func(context.Context, *request.Request) (*request.Response, error)

func (f handlerFunc) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	return f(ctx, r)
}

// serve starts a server on loopback and returns its address and a client.
func serve(t *testing.T, handler handlerFunc) (string, *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(Handlers{Requests: handler}, quietMeter{}).Serve(ctx, listener) }()
	pool := NewPool()
	t.Cleanup(func() {
		_ = pool.Close()
		cancel()
		<-done
	})
	return listener.Addr().String(), NewClient(pool, quietMeter{})
}

func echo(_ context.Context, r *request.Request) (*request.Response, error) {
	body := io.Reader(bytes.NewReader(r.Buffered))
	if r.Streamed() {
		body = r.Body
	}
	length := int64(len(r.Buffered))
	if r.Streamed() {
		length = -1
	}
	return &request.Response{RequestID: r.ID, Status: 200, ContentLength: length, Body: io.NopCloser(body)}, nil
}

func newRequest(id string, size int) (*request.Request, []byte) {
	body := bytes.Repeat([]byte(id), size/len(id)+1)
	return &request.Request{ID: id, Service: "bosho", Key: "plot-7", Deadline: time.Now().Add(time.Minute)}, body
}

// Guards against a body that loses or repeats bytes at the frame bounds, and
// against a connection that carries the rest of one answer into the next call.
func TestForwardCarriesWholeBodies(t *testing.T) {
	address, client := serve(t, echo)
	for _, size := range []int{1, streamedChunkBytes - 1, streamedChunkBytes, 5*streamedChunkBytes + 3} {
		for _, streamed := range []bool{false, true} {
			is := is.New(t)
			r, body := newRequest("id-1", size)
			if streamed {
				r.Body = bytes.NewReader(body)
			} else {
				r.Buffered = body
			}
			answer, err := client.Forward(context.Background(), address, r)
			is.NoErr(err)
			got, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			is.True(bytes.Equal(got, body))
		}
	}
}

type brokenReader struct{ left int }

func (b *brokenReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against an upload that breaks off being taken for a whole one. With
// io.ReadFull in place of readChunk the holder read a short body without an error.
func TestForwardReportsABrokenUpload(t *testing.T) {
	is := is.New(t)
	read := make(chan error, 1)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		_, err := io.ReadAll(r.Body)
		read <- err
		return nil, problem.New(problem.KindBadBody, outcome.StageQueued, "broken upload")
	})
	r, _ := newRequest("id-1", 1)
	r.Body = &brokenReader{left: 3 * streamedChunkBytes / 2}
	_, err := client.Forward(context.Background(), address, r)
	is.True(err != nil)
	is.True(<-read != nil)
}

// Guards against an answer that breaks off at the holder being taken for a whole one.
func TestForwardReportsABrokenAnswer(t *testing.T) {
	is := is.New(t)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		return &request.Response{RequestID: r.ID, Status: 200, Body: io.NopCloser(&brokenReader{left: 3 * streamedChunkBytes / 2})}, nil
	})
	r, _ := newRequest("id-1", 1)
	answer, err := client.Forward(context.Background(), address, r)
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.Equal(problem.From(err).Kind, problem.KindAnswerShort)
	is.NoErr(answer.Body.Close())
}

// Guards against an answer of another request being passed on.
func TestForwardRefusesACrossedAnswer(t *testing.T) {
	is := is.New(t)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		return &request.Response{RequestID: "id-2", Status: 200, Body: io.NopCloser(bytes.NewReader(nil))}, nil
	})
	r, _ := newRequest("id-1", 1)
	_, err := client.Forward(context.Background(), address, r)
	is.Equal(problem.From(err).Kind, problem.KindAnswerCrossed)
}

// Guards against a stage that claims too much: only a refused connection proves
// that the holder did not get the request.
func TestForwardStages(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := listener.Addr().String()
	is.NoErr(listener.Close())
	client := NewClient(NewPool(), quietMeter{})
	r, _ := newRequest("id-1", 1)
	_, err = client.Forward(context.Background(), closed, r)
	is.Equal(problem.From(err).Stage, outcome.StageForwardUnsent)

	address, client := serve(t, func(context.Context, *request.Request) (*request.Response, error) {
		return nil, errors.New("not a problem")
	})
	_, err = client.Forward(context.Background(), address, r)
	is.Equal(problem.From(err).Outcome, outcome.Unknown)

	dropping, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer dropping.Close()
	go func() {
		conn, err := dropping.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	_, err = client.Forward(context.Background(), dropping.Addr().String(), r)
	is.Equal(problem.From(err).Stage, outcome.StageForwardSent)
}

// Guards against a holder that goes on with a request whose caller is gone.
func TestForwardCancelReachesTheHolder(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	address, client := serve(t, func(ctx context.Context, _ *request.Request) (*request.Response, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	r, _ := newRequest("id-1", 1)
	_, err := client.Forward(ctx, address, r)
	is.True(err != nil)
	<-ended
}
