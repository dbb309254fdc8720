package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
)

// world is a small deployment: a store, upstreams, machines and the record of the case.
type world struct {
	dir       string
	startedAt time.Time
	trouble   bool

	mu     sync.Mutex
	record io.Writer
	number int

	store        *kvstore.Server
	storeAddress string
	machines     []*machine
	upstreams    []*upstream
	runs         map[string][]*runOf
}

// runOf is what an upstream has seen of a request.
type runOf struct {
	upstream string
	// beganAt is when the upstream began to work on it, and endedAt when that ended.
	beganAt, endedAt time.Time
	// sent is the length that the head announced or -1, and got what the upstream read.
	sent, got int64
	whole     bool
	err       error
}

// start starts the store. It panics if that is not possible, as the other methods do.
func (w *world) start() {
	w.store, w.runs = kvstore.New(), map[string][]*runOf{}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	w.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }() // ends with the process
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  "+format+"\n", append([]any{time.Since(w.startedAt).Seconds()}, values...)...)
}

// newID returns an attempt ID that no other request has.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.number)
}

func (w *world) addRun(id string, r *runOf) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], r)
}

// runsOf returns copies of the runs of a request.
func (w *world) runsOf(id string) []runOf {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []runOf
	for _, r := range w.runs[id] {
		out = append(out, *r)
	}
	return out
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               float64
}

const host = "hulo84.example"

// configure writes the configuration as the operator does.
func (w *world) configure(services []string, routes []route) {
	var listed, paths []any
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.0})
	}
	for n, r := range routes {
		paths = append(paths, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "path_prefix": r.prefix, "kind": r.kind, "timeout_s": r.timeout, "target_latency_s": 0.5,
			"priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": 7, "services": listed, "hosts": []any{map[string]any{"host": host, "paths": paths}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	check(err)
	w.store.Store().Put("op/config", text)
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(w.dir))
	}
}
