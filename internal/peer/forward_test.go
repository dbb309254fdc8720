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

type noopMeter struct{}

func (noopMeter) Sent(string, int)     {}
func (noopMeter) Received(string, int) {}

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
	go func() { done <- NewServer(Handlers{Requests: handler}, noopMeter{}).Serve(ctx, listener) }()
	pool := NewPool()
	t.Cleanup(func() {
		_ = pool.Close()
		cancel()
		<-done
	})
	return listener.Addr().String(), NewClient(pool, noopMeter{})
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

// Guards against bodies that lose or repeat bytes at frame boundaries, and against
// a reused connection on which the rest of one response reaches the next call.
func TestForwardCarriesCompleteBodies(t *testing.T) {
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
			response, err := client.Forward(context.Background(), address, r)
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.True(bytes.Equal(got, body))
		}
	}
}

type truncatedReader struct{ left int }

func (b *truncatedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against a truncated upload that is taken for a complete one. With
// io.ReadFull in place of readChunk, the holder read a short body without an error.
func TestForwardReportsTruncatedUpload(t *testing.T) {
	is := is.New(t)
	read := make(chan error, 1)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		_, err := io.ReadAll(r.Body)
		read <- err
		return nil, problem.New(problem.KindBadBody, outcome.StageQueued, "truncated upload")
	})
	r, _ := newRequest("id-1", 1)
	r.Body = &truncatedReader{left: 3 * streamedChunkBytes / 2}
	_, err := client.Forward(context.Background(), address, r)
	is.True(err != nil)
	is.True(<-read != nil)
}

// Guards against a response truncated at the holder that is taken for a complete one.
func TestForwardReportsTruncatedResponse(t *testing.T) {
	is := is.New(t)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		return &request.Response{RequestID: r.ID, Status: 200, Body: io.NopCloser(&truncatedReader{left: 3 * streamedChunkBytes / 2})}, nil
	})
	r, _ := newRequest("id-1", 1)
	response, err := client.Forward(context.Background(), address, r)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.Equal(problem.From(err).Kind, problem.KindAnswerShort)
	is.NoErr(response.Body.Close())
}

// Guards against passing on the response to another request.
func TestForwardRejectsResponseOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	address, client := serve(t, func(_ context.Context, r *request.Request) (*request.Response, error) {
		return &request.Response{RequestID: "id-2", Status: 200, Body: io.NopCloser(bytes.NewReader(nil))}, nil
	})
	r, _ := newRequest("id-1", 1)
	_, err := client.Forward(context.Background(), address, r)
	is.Equal(problem.From(err).Kind, problem.KindAnswerCrossed)
}

// Guards against a wrong StageForwardUnsent: only a refused connection proves that the
// holder did not receive the request.
func TestForwardStages(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := listener.Addr().String()
	is.NoErr(listener.Close())
	client := NewClient(NewPool(), noopMeter{})
	r, _ := newRequest("id-1", 1)
	_, err = client.Forward(context.Background(), closed, r)
	is.Equal(problem.From(err).Stage, outcome.StageForwardUnsent)

	address, client := serve(t, func(context.Context, *request.Request) (*request.Response, error) {
		return nil, errors.New("not a problem")
	})
	_, err = client.Forward(context.Background(), address, r)
	is.Equal(problem.From(err).Outcome, outcome.Unknown)

	droppingListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer droppingListener.Close()
	go func() {
		conn, err := droppingListener.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	_, err = client.Forward(context.Background(), droppingListener.Addr().String(), r)
	is.Equal(problem.From(err).Stage, outcome.StageForwardSent)
}

// Guards against a holder that continues a request whose caller has disconnected.
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
