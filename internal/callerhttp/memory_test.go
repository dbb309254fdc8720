package callerhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// trackedBody is a response body that counts what is read of it.
type trackedBody struct {
	io.Reader
	read   atomic.Int64
	closed atomic.Bool
}

func newTrackedBody(text []byte) *trackedBody {
	return &trackedBody{Reader: bytes.NewReader(text)}
}

func (b *trackedBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

func (b *trackedBody) Close() error {
	b.closed.Store(true)
	return nil
}

// largeText returns n bytes in which a part that is missing or repeated shows.
func largeText(n int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%d,", i)
	}
	return text.Bytes()[:n]
}

// newMemoryServer returns a server with an account of its own that answers each request
// with the body.
func newMemoryServer(body *trackedBody, length int64, unwritten func(error)) *Server {
	server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
		return &Response{Status: 200, Remainder: body, Length: length, OnWriteError: unwritten}
	}}, noLimits)
	server.Memory = membudget.New(membudget.LimitsFor(144 << 20))
	return server
}

// useUp takes n bytes and returns a function that returns them.
func useUp(memory *membudget.Account, n int64) (release func()) {
	memory.Unattributed().Charge(membudget.ResponseBodies, n)
	return func() { memory.Unattributed().Return(membudget.ResponseBodies, n) }
}

// Guards against a slow caller that holds a server until it has taken the response, against
// read-ahead without memory for it, and against memory that is not returned.
func TestReadsAheadWithinTheMemory(t *testing.T) {
	text := largeText(1200 << 10)
	for name, c := range map[string]struct{ free, whole bool }{"with memory": {true, true}, "without memory": {false, false}} {
		for _, length := range []int64{int64(len(text)), -1} {
			t.Run(fmt.Sprintf("%s, length %d", name, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					body := newTrackedBody(text)
					server := newMemoryServer(body, length, nil)
					release := func() {}
					if !c.free {
						release = useUp(server.Memory, server.Memory.Limits().Large)
					}
					caller, r, ended := servePipe(server, nil)
					send(caller, getOne)
					time.Sleep(2 * time.Second) // the caller takes nothing
					is.Equal(body.closed.Load(), c.whole)
					is.Equal(body.read.Load() == int64(len(text)), c.whole)
					if !c.whole {
						is.True(body.read.Load() <= 2*chunkBytes)
						is.Equal(server.Memory.Held(membudget.ReadAhead), int64(chunkBytes))
					}
					_, got := readResponse(t, r)
					is.True(got == string(text))
					synctest.Wait() // the caller may see the last byte before the source has told of its end
					is.True(body.closed.Load())
					release()
					caller.Close()
					<-ended
					synctest.Wait()
					is.Equal(server.Memory.Total(), int64(0))
				})
			})
		}
	}
}

// Guards against a caller that stops half-way and keeps what others need: its connection
// closes before the announced length, and its memory is returned.
func TestEndsAStalledConnectionForItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		text := largeText(1200 << 10)
		unwritten := make(chan error, 1)
		server := newMemoryServer(newTrackedBody(text), int64(len(text)), func(err error) { unwritten <- err })
		caller, r, ended := servePipe(server, nil)
		send(caller, getOne)
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		is.True(server.Memory.Held(membudget.ReadAhead) >= int64(len(text))-4096)
		free := server.Memory.Limits().Large - server.Memory.Total()
		defer useUp(server.Memory, free)()
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		is.NoErr(server.Memory.Unattributed().Await(ctx, membudget.ResponseHeads, 1<<20))
		server.Memory.Unattributed().Return(membudget.ResponseHeads, 1<<20)
		_, err = io.Copy(io.Discard, response.Body)
		is.True(err != nil) // the caller sees that the body is incomplete
		<-ended
		synctest.Wait()
		is.True(<-unwritten != nil)
		is.Equal(server.Memory.EndedConnections(), uint64(1))
		is.Equal(server.Memory.Total(), free)
	})
}

// Guards against ending a caller that reads 1 KB/s when the memory is used up.
func TestSlowReaderStaysServedWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		text := largeText(200 << 10)
		server := newMemoryServer(newTrackedBody(text), int64(len(text)), nil)
		caller, r, ended := servePipe(server, nil)
		send(caller, getOne)
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		defer useUp(server.Memory, server.Memory.Limits().Large-server.Memory.Total())()
		asking, cancel := context.WithCancel(t.Context())
		defer cancel()
		waiter := make(chan error, 1)
		go func() {
			waiter <- server.Memory.Unattributed().Await(asking, membudget.ResponseHeads, 1<<20)
		}()
		var got bytes.Buffer
		for {
			time.Sleep(time.Second)
			if _, err := io.CopyN(&got, response.Body, 1024); err != nil {
				is.Equal(err, io.EOF)
				break
			}
		}
		is.True(bytes.Equal(got.Bytes(), text))
		cancel()
		is.True(<-waiter != nil)
		caller.Close()
		<-ended
		is.Equal(server.Memory.EndedConnections(), uint64(0))
	})
}

// Guards against requests that are run, or left without an answer, when all memory is used
// up, and against a long head that takes the memory of usual requests.
func TestRefusesRequestsWithoutMemory(t *testing.T) {
	long := "GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 3*smallHeadBytes) + "\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		used    func(membudget.Limits) int64
		want    int
	}{
		"usual request":                        {getOne, func(l membudget.Limits) int64 { return l.Large }, 200},
		"usual request, nothing left":          {getOne, func(l membudget.Limits) int64 { return l.Total }, 503},
		"long head":                            {long, func(membudget.Limits) int64 { return 0 }, 200},
		"long head, only the reserve is left":  {long, func(l membudget.Limits) int64 { return l.Large }, 503},
		"two usual requests, one has no place": {getOne + getOne, func(l membudget.Limits) int64 { return l.Total }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				handled := atomic.Int64{}
				server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
					handled.Add(1)
					return &Response{Status: 200}
				}}, noLimits)
				server.Memory = membudget.New(membudget.LimitsFor(144 << 20))
				release := useUp(server.Memory, c.used(server.Memory.Limits()))
				caller, r, ended := servePipe(server, nil)
				send(caller, c.request)
				response, _ := readResponse(t, r)
				is.Equal(response.StatusCode, c.want)
				is.Equal(handled.Load() > 0, c.want == 200)
				is.Equal(server.Memory.RefusedRequests() > 0, c.want == 503)
				caller.Close()
				<-ended
				synctest.Wait()
				release()
				is.Equal(server.Memory.Total(), int64(0))
			})
		})
	}
}

// failingBody fails after its text.
type failingBody struct{ *trackedBody }

func (b failingBody) Read(p []byte) (int, error) {
	n, err := b.trackedBody.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against memory that stays counted, and against a goroutine that stays, however a
// long response ends.
func TestReadAheadIsReturnedHoweverItEnds(t *testing.T) {
	text := largeText(100 << 10)
	for name, act := range map[string]func(caller net.Conn, r io.Reader){
		"read whole":            func(_ net.Conn, r io.Reader) { _, _ = io.CopyN(io.Discard, r, 90<<10) },
		"caller leaves at once": func(net.Conn, io.Reader) {},
		"caller leaves halfway": func(_ net.Conn, r io.Reader) { _, _ = io.CopyN(io.Discard, r, 50<<10) },
		"caller stalls":         func(net.Conn, io.Reader) { time.Sleep(2 * stallTimeout) },
	} {
		for _, fails := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, source fails %t", name, fails), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					bodies := make(chan *trackedBody, 2)
					server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
						body := newTrackedBody(text)
						bodies <- body
						var source io.ReadCloser = body
						if fails {
							source = failingBody{body}
						}
						return &Response{Status: 200, Remainder: source, Length: int64(len(text))}
					}}, noLimits)
					server.Memory = membudget.New(membudget.LimitsFor(144 << 20))
					caller, r, ended := servePipe(server, nil)
					send(caller, getOne+getOne) // the second response waits for the first one
					act(caller, r)
					caller.Close()
					<-ended
					synctest.Wait()
					is.Equal(server.Memory.Total(), int64(0))
					close(bodies)
					for body := range bodies {
						is.True(body.closed.Load())
					}
				})
			})
		}
	}
}
