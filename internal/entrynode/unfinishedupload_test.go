package entrynode

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	backendfleet "peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/gateway"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a planned stop that ends while a server still reads an upload which it has
// answered already: the end of the process cuts the upload off.
func TestPlannedStopWaitsForAnUnfinishedUpload(t *testing.T) {
	is := is.New(t)
	const size = 400 << 10
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var received atomic.Int64
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		r := bufio.NewReader(c)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Stamp: stamp\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(drainNotice + time.Second)
		n, _ := io.Copy(io.Discard, request.Body) // what has arrived if the connection ends
		received.Store(n)
		_, _ = r.ReadByte() // until the connection ends
	}()
	callers, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	n := newStoppingNode(30 * time.Second)
	defer n.log.Close()
	call := &gateway.Call{
		ID: "1", Method: http.MethodPost, Target: "/p/x", Host: "h", Header: http.Header{"X-Attempt-Id": {"1"}},
		Body: &gateway.Body{Buffered: bytes.Repeat([]byte("a"), size), Length: size},
	}
	server := &backendfleet.Server{Address: backendfleet.Address(listener.Addr().String())}
	result := n.backends.Send(t.Context(), server, call, time.Now().Add(20*time.Second), func() bool { return true })
	is.Equal(result.Outcome, placing.Answered)
	n.stop(serveCallers(n, callers))
	is.Equal(n.backends.UnfinishedUploads(), 0)
	n.backends.CloseAllExcept(nil)
	for end := time.Now().Add(5 * time.Second); received.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(received.Load(), int64(size))
}
