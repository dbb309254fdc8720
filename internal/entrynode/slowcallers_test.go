package entrynode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
)

const (
	// stalledCallers ask for large responses, or begin large uploads, and stop half-way.
	stalledCallers = 60
	// largeResponseBytes is more than stalledCallers share of the memory for a machine of
	// lowMemoryMB, with what the kernel takes of each response.
	largeResponseBytes = 8 << 20
	lowMemoryMB        = 64
	// residentLimit is the memory that the process may take on that machine. The rest is
	// for the system and the buffers of the sockets.
	residentLimit = lowMemoryMB << 20
)

// startLargeServer starts a server that answers GET with a large response, reads no upload
// and answers other requests with "sound". It returns how many large responses it has begun
// and completed.
func startLargeServer(t *testing.T) (server *httptest.Server, begun, completed *atomic.Int64) {
	t.Helper()
	begun, completed = new(atomic.Int64), new(atomic.Int64)
	stop := make(chan struct{})
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		switch {
		case r.Method == http.MethodPut:
			<-stop
		case r.Method == http.MethodGet:
			begun.Add(1)
			w.Header().Set("Content-Length", strconv.Itoa(largeResponseBytes))
			part := make([]byte, 64<<10)
			for range largeResponseBytes / len(part) {
				if _, err := w.Write(part); err != nil {
					return
				}
			}
			completed.Add(1)
		default:
			fmt.Fprint(w, "sound")
		}
	}))
	t.Cleanup(func() {
		close(stop)
		server.CloseClientConnections()
		server.Close()
	})
	return server, begun, completed
}

// metric returns the value of a metric of the instance.
func (c *childInstance) metric(t *testing.T, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + c.config.MetricsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text)
	if found == nil {
		t.Fatalf("no metric %s", name)
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against callers that stop reading large responses, or servers that do not read
// uploads, that use up the memory of the machine or keep other requests from an answer.
func TestStalledCallersStayWithinTheMachinesMemory(t *testing.T) {
	for name, request := range map[string]string{
		"responses": "GET /g/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 12000\r\n\r\n",
		"uploads":   "PUT /g/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 12000\r\nContent-Length: 4194304\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := kvstore.New()
			storeServer := httptest.NewServer(s)
			defer storeServer.Close()
			put(t, s, "op/config", map[string]any{
				"version": 1, "services": []any{map[string]any{"name": "large"}},
				"hosts": []any{map[string]any{"host": "h", "paths": []any{
					map[string]any{"name": "g", "path_prefix": "/g/", "kind": "download", "timeout_s": 12.0, "target_latency_s": 12.0, "service": "large", "max_attempts": 1},
					map[string]any{"name": "p", "path_prefix": "/p/", "kind": "unsafe", "timeout_s": 10.0, "target_latency_s": 10.0, "service": "large", "max_attempts": 1}}}},
			})
			server, begun, completed := startLargeServer(t)
			put(t, s, "servers/i-1", map[string]any{
				"address": server.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "large", "zone": "d-a", "slots": 4 * stalledCallers},
				"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
			child := startChildInstanceWith(t, storeServer.Listener.Addr().String(), fmt.Sprintf("memory_mb = %d\n", lowMemoryMB))
			client := newCaller()
			defer client.CloseIdleConnections()
			waitFor(t, "the instance serves", func() bool {
				status, _ := sendTo(client, child.instance, "/p/x", "first", 0, 5*time.Second)
				return status == http.StatusOK
			})
			resting := child.residentBytes(t)
			var callers sync.WaitGroup
			for n := range stalledCallers {
				c, err := net.Dial("tcp4", child.config.CallerAddress)
				is.NoErr(err)
				defer c.Close()
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				callers.Go(func() {
					fmt.Fprintf(c, request, n)
					if strings.HasPrefix(request, "PUT") {
						_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
						_, _ = c.Write(make([]byte, 4<<20)) // until nobody reads it
						return
					}
					_, _ = http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
				})
			}
			peak, answered := 0, 0
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				status, body := sendTo(client, child.instance, "/p/x", fmt.Sprintf("p-%d", answered), 0, 10*time.Second)
				if status != http.StatusOK || body != "sound" {
					t.Fatalf("request %d of another caller: status %d, %q", answered, status, body)
				}
				answered++
				peak = max(peak, child.residentBytes(t))
			}
			callers.Wait()
			ready, err := http.Get("http://" + child.config.ReadinessAddress + "/readiness")
			is.NoErr(err)
			ready.Body.Close()
			is.Equal(ready.StatusCode, http.StatusOK)
			held, limit := child.metric(t, "peridotmoor_connection_memory_peak_bytes"), child.metric(t, "peridotmoor_connection_memory_limit_bytes")
			t.Logf("%d large responses begun, %d read to their end; resident %d MB at rest, %d MB at the peak; held at the peak %.1f of %.1f MB; %d requests of others answered",
				begun.Load(), completed.Load(), resting>>20, peak>>20, held/(1<<20), limit/(1<<20), answered)
			is.True(held <= limit)
			is.True(peak < residentLimit)
			is.True(answered > 0)
		})
	}
}
