package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones are the failure domains of the deployment.
var zones = []string{"leicester", "derby", "nottingham"}

// world holds what was sent, run and answered.
type world struct {
	store     *store
	start     time.Time
	dir       string
	pids      string
	mu        sync.Mutex
	notes     []string
	runs      sync.Map // attempt ID to *atomic.Int64
	sent      sync.Map // attempt ID to kind
	bodies    sync.Map // attempt ID to length of the body sent
	refused   sync.Map // attempt ID to status
	broken    atomic.Int64
	counts    sync.Map // text to *atomic.Int64
	onArrival func(u *upstream, c net.Conn, in *bufio.Reader, r *http.Request, id string) (done, more bool)
	entries   []*entry
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.notes) < 4000 {
		w.notes = append(w.notes, fmt.Sprintf("%8.3f s  ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) count(what string) {
	n, _ := w.counts.LoadOrStore(what, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// breaks notes that a rule is broken.
func (w *world) breaks(rule, format string, args ...any) {
	if w.broken.Add(1) <= 50 {
		w.note("BROKEN "+rule+": "+format, args...)
	}
	w.count("BROKEN " + rule)
}

func (w *world) arrived(u *upstream, r *http.Request, id string) {
	if _, known := w.sent.Load(id); !known {
		w.breaks("UNASKED", "upstream %s gets request %q that nobody sent: %s %s", u.id, id, r.Method, r.RequestURI)
	}
}

// ran notes that an upstream begins to work on a request.
func (w *world) ran(u *upstream, r *http.Request, id string, body []byte) {
	kind, _ := w.sent.Load(id)
	if n, known := w.bodies.Load(id); known {
		if want := bodyOf("body"+id, n.(int)); string(want) != string(body) {
			at := 0
			for at < len(want) && at < len(body) && want[at] == body[at] {
				at++
			}
			w.breaks("UNASKED", "upstream %s runs %s with another body: %d bytes in place of %d, the same up to byte %d", u.id, id, len(body), len(want), at)
		}
	}
	n, _ := w.runs.LoadOrStore(id, new(atomic.Int64))
	if k := n.(*atomic.Int64).Add(1); k > 1 && kind == "unsafe" {
		w.breaks("TWICE", "%s runs for the %dth time, at %s", id, k, u.id)
	}
	if status, known := w.refused.Load(id); known && kind == "unsafe" {
		w.breaks("REFUSED", "%s runs at %s after it was answered %d", id, u.id, status)
	}
}

// entry is one process of the system.
type entry struct {
	name, zone                          string
	callers, ready, peers, metrics, dir string
	cmd                                 *exec.Cmd
	exited                              chan error
	w                                   *world
}

func freePort() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (w *world) newEntry(name, zone string) *entry {
	e := &entry{name: name, zone: zone, callers: freePort(), ready: freePort(), peers: freePort(), metrics: freePort(), w: w, dir: w.dir}
	w.entries = append(w.entries, e)
	return e
}

// run starts the process with the command of deploy/system.toml.
func (e *entry) run(program, storeAddress string, first bool) {
	text := fmt.Sprintf("[instance]\nname = %s\ndomain = %s\nfirst_start = %v\nprocessor_share = 0.32\nmemory_mb = 284\ndescriptors = 4100\n\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n\n[store]\naddress = %s\n\n[bounds]\ngrace_s = 6\nretry_ratio = 0.2\nretry_extra = 60\nretry_window_s = 10\n",
		e.name, e.zone, first, e.callers, e.ready, e.peers, e.metrics, storeAddress)
	path := filepath.Join(e.dir, e.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	e.cmd = exec.Command(program, "--config", path)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		panic(err)
	}
	if e.w.pids != "" {
		if f, err := os.OpenFile(e.w.pids, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			fmt.Fprintln(f, e.cmd.Process.Pid)
			_ = f.Close()
		}
	}
	e.exited = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait(); log.Close() }(e.cmd, e.exited)
	e.w.note("%s starts, process %d", e.name, e.cmd.Process.Pid)
}

func (e *entry) signal(s syscall.Signal) {
	e.w.note("%s gets %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (w *world) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, e := range w.entries {
			all = all && e.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// deploy starts the upstreams and three processes of the system. atelier is the number of upstreams for uploads.
func (w *world) deploy(program, storeAddress string, atelier int) {
	w.store.Put("op/config", config(1))
	for i := range 3 {
		w.startUpstream("rail", zones[i%3], i, true, 3)
		w.startUpstream("bookings", zones[i%3], i, false, 3)
	}
	for i := range atelier {
		w.startUpstream("atelier", zones[i%3], i, false, 3)
	}
	for i := range 3 {
		w.newEntry(fmt.Sprintf("front-%s-1", zones[i]), zones[i]).run(program, storeAddress, true)
	}
}

// verdict returns the exit code: 1 if a rule was broken, 2 if what is to be counted never came.
func (w *world) verdict(counted string) int {
	if w.broken.Load() > 0 {
		return 1
	}
	if _, any := w.counts.Load(counted); !any {
		return 2
	}
	return 0
}

func (w *world) stopAll() {
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
		}
	}
}

func (w *world) record(path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	w.counts.Range(func(k, v any) bool {
		lines = append(lines, fmt.Sprintf("%8d  %s", v.(*atomic.Int64).Load(), k))
		return true
	})
	text := strings.Join(w.notes, "\n") + "\n\ncounts\n" + strings.Join(sorted(lines), "\n") + "\n"
	if path == "-" {
		fmt.Print(text)
		return
	}
	_ = os.WriteFile(path, []byte(text), 0o644)
}
