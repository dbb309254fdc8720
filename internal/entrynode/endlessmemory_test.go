package entrynode

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

const (
	// machineMemory is the memory of the smallest machine that runs an instance.
	machineMemory = 184 << 20
	// floodServers servers send without end; each has floodSlots slots.
	floodServers = 60
	floodSlots   = 8
	// soundTimeout ends a request to the sound server that is never answered. The machine of
	// the test may be busy with the floods for longer than callers usually wait.
	soundTimeout = time.Minute
)

// floods are what faulty servers send without end, in place of a response or in one.
var floods = map[string]struct {
	start string
	unit  func(n int) string
}{
	"header lines": {"HTTP/1.1 200 OK\r\n", func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }},
	"header line":  {"HTTP/1.1 200 OK\r\nA: ", func(int) string { return "aaaaaaaa" }},
	"body":         {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\n\r\n", func(int) string { return "aaaaaaaa" }},
	"trailers":     {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }},
}

// floodText returns what follows the start of a flood: more than any client may keep.
func floodText(unit func(n int) string) []byte {
	var text bytes.Buffer
	for n := 1 << 16; text.Len() < 1<<20; n++ { // units of equal length
		text.WriteString(unit(n))
	}
	return text.Bytes()
}

// serveFlood answers a request with bytes that do not end before the client closes the
// connection, in bursts, so that many such responses are in progress at a time.
func serveFlood(c net.Conn, start string, text []byte) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, request.Header.Get("X-Attempt-Id"))
	}
	const burst = 60 << 10
	for part := append([]byte(start), text[:burst]...); ; part = text[:burst] {
		if _, err := c.Write(part); err != nil {
			return
		}
		if text = text[burst:]; len(text) < burst {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against an instance that runs out of memory because of servers that send without
// end, and with it the requests of all its other callers.
func TestEndlessResponsesStayWithinTheMachinesMemory(t *testing.T) {
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := kvstore.New()
			storeServer := httptest.NewServer(s)
			defer storeServer.Close()
			put(t, s, "op/config", map[string]any{
				"version": 1, "services": []any{map[string]any{"name": "faulty"}, map[string]any{"name": "sound"}},
				"limits": map[string]any{"max_body_bytes": 1 << 20},
				"hosts": []any{map[string]any{"host": "h", "paths": []any{
					map[string]any{"name": "f", "path_prefix": "/f/", "kind": "unsafe", "timeout_s": 5.0, "target_latency_s": 5.0, "service": "faulty", "max_attempts": 1},
					map[string]any{"name": "p", "path_prefix": "/p/", "kind": "unsafe", "timeout_s": soundTimeout.Seconds(), "target_latency_s": soundTimeout.Seconds(), "service": "sound", "max_attempts": 1}}}},
			})
			putServer := func(id, service, address string, slots int) {
				put(t, s, "servers/"+id, map[string]any{
					"address": address, "born": 1, "info": map[string]any{"service": service, "zone": "d-a", "slots": slots},
					"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
			}
			var flooded atomic.Int64
			text := floodText(flood.unit)
			for n := range floodServers {
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				defer listener.Close()
				go func() {
					for {
						c, err := listener.Accept()
						if err != nil {
							return
						}
						flooded.Add(1)
						go serveFlood(c, flood.start, text)
					}
				}()
				putServer(fmt.Sprintf("f-%d", n), "faulty", listener.Addr().String(), floodSlots)
			}
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Response-Stamp", "stamp")
				fmt.Fprint(w, "sound")
			}))
			defer sound.Close()
			putServer("p-1", "sound", sound.Listener.Addr().String(), 100)

			child := startChildInstance(t, storeServer.Listener.Addr().String())
			client := newCaller()
			client.Timeout = soundTimeout
			defer client.CloseIdleConnections()
			waitFor(t, "the instance serves", func() bool {
				status, _ := sendTo(client, child.instance, "/p/x", "first", 0, 5*time.Second)
				return status == http.StatusOK
			})
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range floodServers * floodSlots {
				callers.Go(func() {
					caller := newSingleUseCaller()
					for k := 0; ; k++ {
						select {
						case <-stop:
							return
						default:
						}
						sendTo(caller, child.instance, "/f/x"+strconv.Itoa(n*1000+k), fmt.Sprintf("f-%d-%d", n, k), 0, 5*time.Second)
					}
				})
			}
			peak, answered, unanswered := 0, 0, 0
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				status, body := sendTo(client, child.instance, "/p/x", fmt.Sprintf("p-%d", answered+unanswered), 0, soundTimeout)
				if status == http.StatusOK && body == "sound" {
					answered++
				} else {
					unanswered++
					t.Logf("request p-%d to the sound server: status %d, %q", answered+unanswered-1, status, body)
				}
				peak = max(peak, child.residentBytes(t))
				time.Sleep(10 * time.Millisecond)
			}
			close(stop)
			callers.Wait()
			t.Logf("%d responses without end, resident memory up to %d MB; other callers: %d answered, %d not", flooded.Load(), peak>>20, answered, unanswered)
			is.True(flooded.Load() > floodServers)
			is.True(peak < machineMemory)
			is.True(answered > 0)
			is.Equal(unanswered, 0)
		})
	}
}

// childInstance is an instance that runs as a process of its own, without the race detector.
type childInstance struct {
	*instance
	command *exec.Cmd
}

func startChildInstance(t *testing.T, store string) *childInstance {
	t.Helper()
	return startChildInstanceWith(t, store, "")
}

// startChildInstanceWith starts an instance with further lines of section [instance].
func startChildInstanceWith(t *testing.T, store, lines string) *childInstance {
	t.Helper()
	return startChildInstanceWithGrace(t, store, lines, 4*time.Second)
}

// startChildInstanceWithGrace starts an instance with the grace period.
func startChildInstanceWithGrace(t *testing.T, store, lines string, grace time.Duration) *childInstance {
	t.Helper()
	reserved, err := ports.Reserve(addressesPerInstance)
	if err != nil {
		t.Fatal(err)
	}
	a := reserved.Addresses
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "peridotmoor-entry"), filepath.Join(dir, "settings.ini")
	build, err := exec.Command("go", "build", "-o", program, "peridotmoor.org/peridotmoor/cmd/peridotmoor-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, build)
	}
	text := fmt.Sprintf("[instance]\nname = a\ndomain = d-a\nfirst_start = true\nprocessor_share = 1\n"+lines+
		"[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[store]\naddress = %s\n"+
		"[bounds]\ngrace_s = %g\nretry_ratio = 0.2\nretry_extra = 20\nretry_window_s = 10\n", a[0], a[1], a[2], a[3], store, grace.Seconds())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &childInstance{instance: &instance{config: Config{CallerAddress: a[0], ReadinessAddress: a[1], PeerAddress: a[2], MetricsAddress: a[3]}}, command: exec.Command(program, "--config", settings)}
	if err := c.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.command.Process.Signal(syscall.SIGKILL)
		_ = c.command.Wait()
		reserved.Release()
	})
	return c
}

// residentBytes returns the resident memory of the process.
func (c *childInstance) residentBytes(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		t.Fatal(err)
	}
	return pages * os.Getpagesize()
}
