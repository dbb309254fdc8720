package entrynode

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
)

// pacedReader reads 2 KB every 100 ms.
type pacedReader struct{ source io.Reader }

func (r pacedReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.source.Read(p[:min(len(p), 2<<10)])
}

// Guards against a planned stop that closes a connection, or ends the process, before a caller
// that reads slowly has taken the responses to requests that have run (review/8). The request
// that the caller sends meanwhile makes the kernel drop what a closed connection had to deliver.
func TestPlannedStopWaitsForCallersThatReadSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		answered  bool // when the stop begins
		responses int
	}{
		"requests in progress": {false, 3}, // the last one announces the close
		"requests answered":    {true, 4},  // the connection is not idle, and the later request is answered
	} {
		t.Run(name, func(t *testing.T) { testStopWithASlowCaller(t, c.answered, c.responses) })
	}
}

func testStopWithASlowCaller(t *testing.T, answered bool, responses int) {
	is := is.New(t)
	const (
		ahead         = 3
		responseBytes = 25_000
		grace         = 30 * time.Second
	)
	s := kvstore.New()
	storeServer := httptest.NewServer(s)
	defer storeServer.Close()
	put(t, s, "op/config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "s"}},
		"hosts": []any{map[string]any{"host": "h", "paths": []any{
			map[string]any{"name": "s", "path_prefix": "/s/", "kind": "safe", "timeout_s": 10.0, "target_latency_s": 10.0, "service": "s", "max_attempts": 1}}}},
	})
	var begun, ended atomic.Int32
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		if strings.HasPrefix(r.URL.Path, "/s/slow") {
			begun.Add(1)
			defer ended.Add(1)
			<-release
			_, _ = w.Write(bytes.Repeat([]byte("a"), responseBytes)) // the test checks the length
		}
	}))
	defer backend.Close()
	put(t, s, "servers/i-1", map[string]any{
		"address": backend.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "s", "zone": "d-a", "slots": 8},
		"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
	child := startChildInstanceWithGrace(t, storeServer.Listener.Addr().String(), "", grace)
	client := newSingleUseCaller()
	waitFor(t, "the instance serves", func() bool {
		status, _ := sendTo(client, child.instance, "/s/x", "first", 0, 5*time.Second)
		return status == http.StatusOK
	})
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
		return err
	}}
	c, err := dialer.Dial("tcp4", child.config.CallerAddress)
	is.NoErr(err)
	defer c.Close()
	send := func(n int) {
		_, err := fmt.Fprintf(c, "GET /s/slow-%d HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow-%d\r\nX-Deadline-Ms: 10000\r\n\r\n", n, n)
		is.NoErr(err)
	}
	for n := range ahead {
		send(n)
	}
	waitFor(t, "all requests run", func() bool { return begun.Load() == ahead })
	if answered {
		close(release)
		waitFor(t, "all requests are answered", func() bool { return ended.Load() == ahead })
		time.Sleep(200 * time.Millisecond) // until the instance has passed the responses on
	}
	is.NoErr(child.command.Process.Signal(syscall.SIGTERM))
	waitFor(t, "the instance stops", func() bool { return !child.ready() })
	if !answered {
		close(release)
	}
	time.Sleep(drainNotice + time.Second) // the caller reads nothing; idle connections are closed meanwhile
	send(ahead)
	r := bufio.NewReaderSize(pacedReader{c}, 2<<10)
	for n := range responses {
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(body), responseBytes)
		is.Equal(response.Close, n == responses-1)
	}
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(begun.Load(), int32(responses))
	is.NoErr(c.Close())
	is.NoErr(child.command.Wait()) // the stop ends once the caller has closed the connection
}
