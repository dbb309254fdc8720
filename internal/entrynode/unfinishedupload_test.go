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
	whole := bytes.Repeat([]byte("a"), 400<<10)
	for name, c := range map[string]struct {
		body     gateway.Body
		delisted bool // before the stop
	}{
		"buffered":                {gateway.Body{Buffered: whole, Length: int64(len(whole))}, false},
		"streamed":                {gateway.Body{Buffered: whole[:1000], Remainder: bytes.NewReader(whole[1000:]), Length: int64(len(whole))}, false},
		"server no longer listed": {gateway.Body{Buffered: whole, Length: int64(len(whole))}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStopWithAnUnfinishedUpload(t, &c.body, c.delisted)
		})
	}
}

func testStopWithAnUnfinishedUpload(t *testing.T, body *gateway.Body, delisted bool) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var received atomic.Int64
	var reads atomic.Bool
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
		reads.Store(true)
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
		Body: body,
	}
	server := &backendfleet.Server{Address: backendfleet.Address(listener.Addr().String())}
	result := n.backends.Send(t.Context(), server, call, time.Now().Add(20*time.Second), func() bool { return true })
	is.Equal(result.Outcome, placing.Answered)
	if delisted {
		n.backends.CloseAllExcept(nil)
	}
	n.stop(serveCallers(n, callers))
	is.True(reads.Load()) // what the kernel of the server does not take must have been waited for
	is.Equal(n.backends.Deliveries.Count(), 0)
	n.backends.CloseAllExcept(nil)
	for end := time.Now().Add(5 * time.Second); received.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(received.Load(), body.Length)
}
