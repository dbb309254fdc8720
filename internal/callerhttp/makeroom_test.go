package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a full listener that serves nobody else, against a request in progress that
// is cut off in favour of a new connection, and against a count that does not return to 0.
func TestFullListenerClosesConnectionsThatWaitForTheirCallers(t *testing.T) {
	is := is.New(t)
	running, finish := make(chan struct{}, 1), make(chan struct{})
	server := NewServer(stubHandler{handle: func(_ context.Context, r *http.Request) *Response {
		switch r.URL.Path {
		case "/wait":
			running <- struct{}{}
			<-finish
		case "/body":
			running <- struct{}{}
			if _, err := io.ReadAll(r.Body); err != nil {
				return &Response{}
			}
		}
		return &Response{Status: 200}
	}}, noLimits)
	server.MaxConnections = 3
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go server.Serve(listener)
	defer listener.Close()
	connect := func(text string) net.Conn {
		c, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		return c
	}
	status := func(c net.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return response.StatusCode
	}
	busy := connect("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	halfway := connect("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	<-running
	idle := connect(getOne)
	is.Equal(status(idle), 200)
	is.Equal(status(connect(getOne)), 200) // closes halfway, which has waited for longer
	_, err = halfway.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(status(connect(getOne)), 200) // closes idle
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil)
	close(finish)
	is.Equal(status(busy), 200)
	for end := time.Now().Add(10 * time.Second); server.evicted.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(server.evicted.Load(), int64(0))
	is.True(server.OpenConnections() <= server.MaxConnections)
}
