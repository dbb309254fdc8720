package entrynode

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
)

const (
	// crowdDescriptors is the limit on descriptors of the process under test. The crowds have
	// more connections than that.
	crowdDescriptors = 256
	crowdConnections = 400
	// maxCrowdDescriptors leaves a few descriptors for ordinary use.
	maxCrowdDescriptors = crowdDescriptors - 16
	// crowdDuration is how long a crowd is observed.
	crowdDuration = 2 * time.Second
	// answerTimeout ends the wait for the answer to an ordinary request.
	answerTimeout = 5 * time.Second
)

// crowd is a number of connections on which one client each sends text and does not read.
type crowd struct {
	address func(c Config) string
	text    string
}

func callersOf(c Config) string   { return c.CallerAddress }
func peersOf(c Config) string     { return c.PeerAddress }
func metricsOf(c Config) string   { return c.MetricsAddress }
func readinessOf(c Config) string { return c.ReadinessAddress }

// shortFields returns header lines of the given size together, with names that differ.
func shortFields(size int) string {
	var text strings.Builder
	for n := 36 * 36; text.Len()+6 <= size; n++ {
		fmt.Fprintf(&text, "%s:\r\n", base36(n))
	}
	return text.String()
}

func base36(n int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	return string([]byte{digits[n/36/36%36], digits[n/36%36], digits[n%36]})
}

const requestStart = "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nX-Shard-Key: 0\r\nX-Deadline-Ms: 12000\r\n"

var crowds = map[string]crowd{
	"bodies that stop just short of their end": {callersOf, fmt.Sprintf(requestStart, "/p/x") + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 999)},
	"chunked bodies without their last chunk":  {callersOf, fmt.Sprintf(requestStart, "/p/x") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 200)},
	"bodies at a path without a route":         {callersOf, fmt.Sprintf(requestStart, "/none") + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 999)},
	"heads of very many short fields":          {callersOf, fmt.Sprintf(requestStart, "/p/x") + "Content-Length: 1000\r\n" + shortFields(15<<10) + "\r\n" + strings.Repeat("a", 999)},
	"requests sent ahead":                      {callersOf, strings.Repeat(fmt.Sprintf(requestStart, "/p/x")+"Content-Length: 0\r\n\r\n", 1000)},
	"readiness connections that stay open":     {readinessOf, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n"},
	"metrics requests that stop short":         {metricsOf, "POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\na"},
	"silent connections of no peer":            {peersOf, ""},
}

// gather opens the connections of the crowd. A connection that is refused or closed is left.
// It returns how many were opened.
func (w crowd) gather(t *testing.T, c Config) int {
	t.Helper()
	var opened atomic.Int64
	var dialing sync.WaitGroup
	for range crowdConnections {
		dialing.Go(func() {
			conn, err := net.DialTimeout("tcp4", w.address(c), time.Second)
			if errors.Is(err, syscall.ECONNRESET) { // opened, and closed before the dialer looked at it
				opened.Add(1)
			}
			if err != nil {
				return
			}
			opened.Add(1)
			t.Cleanup(func() { conn.Close() })
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = conn.SetWriteDeadline(time.Now().Add(crowdDuration))
			_, _ = io.WriteString(conn, w.text)
		})
	}
	dialing.Wait()
	return int(opened.Load())
}

// openDescriptors returns how many descriptors the process has open.
func (c *childInstance) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// Guards against clients that end the process, use up its memory or descriptors, or keep
// ordinary requests from being served, on any of its listeners.
func TestHostileCrowdsStayWithinTheLimits(t *testing.T) {
	for name, w := range crowds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := kvstore.New()
			storeServer := httptest.NewServer(s)
			defer storeServer.Close()
			put(t, s, "op/config", map[string]any{
				"version": 1, "services": []any{map[string]any{"name": "sound"}},
				"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 1 << 20},
				"hosts": []any{map[string]any{"host": "h", "paths": []any{
					map[string]any{"name": "p", "path_prefix": "/p/", "kind": "unsafe", "timeout_s": 12.0, "target_latency_s": 12.0, "service": "sound", "max_attempts": 1}}}},
			})
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Response-Stamp", "stamp")
				fmt.Fprint(w, "sound")
			}))
			defer sound.Close()
			put(t, s, "servers/p-1", map[string]any{
				"address": sound.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "sound", "zone": "d-a", "slots": 100},
				"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
			child := startChildInstanceWith(t, storeServer.Listener.Addr().String(), fmt.Sprintf("memory_mb = %d\ndescriptors = %d\n", lowMemoryMB, crowdDescriptors))
			is.NoErr(unix.Prlimit(child.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: crowdDescriptors, Max: crowdDescriptors}, nil))
			answered := func(id string) bool {
				caller := newSingleUseCaller()
				caller.Timeout = answerTimeout
				status, body := sendTo(caller, child.instance, "/p/x", id, 0, answerTimeout)
				return status == http.StatusOK && body == "sound"
			}
			waitFor(t, "the instance serves", func() bool { return answered("first") })
			is.True(w.gather(t, child.config) > crowdDescriptors)
			peakMemory, peakDescriptors := 0, 0
			for end := time.Now().Add(crowdDuration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				peakMemory = max(peakMemory, child.residentBytes(t))
				peakDescriptors = max(peakDescriptors, child.openDescriptors(t))
			}
			served := false
			for n, end := 0, time.Now().Add(answerTimeout); !served && time.Now().Before(end); n++ {
				served = answered(fmt.Sprintf("after-%d", n))
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("resident memory up to %d MB, descriptors up to %d, ordinary request served: %t", peakMemory>>20, peakDescriptors, served)
			is.True(child.command.ProcessState == nil)
			is.NoErr(child.command.Process.Signal(unix.Signal(0)))
			is.True(peakMemory < residentLimit)
			is.True(peakDescriptors <= maxCrowdDescriptors)
			is.True(served)
			is.True(child.ready())
		})
	}
}
