package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
)

const (
	stableWindow = 3 * time.Second
	host         = "hulo84.example"
)

// world is the platform of one case: its store, upstreams, instances and consumers.
type world struct {
	rec          *recorder
	dir          string
	trouble      bool
	store        *kvstore.Server
	storeAddress string
	net          string
	upstreams    []*upstream
	instances    []*instance
	requests     atomic.Int64
	broken       atomic.Int64
	failure      atomic.Pointer[string]

	owners *ownership
	// onRun, if set, is called with each request that an upstream runs.
	onRun func(*upstream, *http.Request)
	// onCrash, if set, is called when a request crashes an upstream.
	onCrash func(id string)
}

func newWorld(rec *recorder, dir string, trouble bool) (*world, error) {
	w := &world{rec: rec, dir: dir, trouble: trouble, store: kvstore.New(), net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
	w.owners = newOwnership(w)
	listener, err := net.Listen("tcp4", w.net+".1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go http.Serve(listener, w.store)
	return w, nil
}

func (w *world) fail(text string) { w.failure.CompareAndSwap(nil, &text) }

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	if w.broken.Add(1) <= 10 {
		w.rec.say("BROKEN "+format, args...)
	} else {
		w.rec.log("BROKEN "+format, args...)
	}
}

func (w *world) crashedBy(id string) {
	if w.onCrash != nil {
		w.onCrash(id)
	}
}

// configure writes the operator's configuration. keyed and plain are the services.
func (w *world) configure(keyed, plain []string) {
	var services, paths []any
	add := func(name string, sharded bool) {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 120, "cold_start_s": 0, "cold_per_s": 0, "sharded": sharded, "warmup_s": 0})
		for _, k := range []string{"safe", "unsafe"} {
			paths = append(paths, map[string]any{"name": name + "-" + k, "path_prefix": "/" + name + "/" + k + "/", "kind": k, "timeout_s": 2, "target_latency_s": 1, "priority": 1, "service": name, "max_attempts": 2})
		}
	}
	for _, name := range keyed {
		add(name, true)
	}
	for _, name := range plain {
		add(name, false)
	}
	text, _ := json.Marshal(map[string]any{
		"version": 7, "services": services, "hosts": []any{map[string]any{"host": host, "paths": paths}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	w.store.Store().Put("op/config", text)
}

// configureRoutes writes a configuration with services and unsafe routes, by prefix.
func (w *world) configureRoutes(names []string, prefixes map[string]string) {
	var services, paths []any
	for _, name := range names {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 120, "cold_start_s": 0, "cold_per_s": 0, "sharded": false, "warmup_s": 0})
	}
	for prefix, service := range prefixes {
		paths = append(paths, map[string]any{"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "path_prefix": prefix, "kind": "unsafe", "timeout_s": 2, "target_latency_s": 1, "priority": 1, "service": service, "max_attempts": 2})
	}
	text, _ := json.Marshal(map[string]any{
		"version": 7, "services": services, "hosts": []any{map[string]any{"host": host, "paths": paths}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	w.store.Store().Put("op/config", text)
}

var zones = []string{"leicester", "derby", "nottingham"}

func (w *world) addUpstream(u *upstream) error {
	u.w = w
	if u.zone == "" {
		u.zone = zones[len(w.upstreams)%len(zones)]
	}
	if u.address == "" {
		ip := fmt.Sprintf("%s.%d", w.net, 100+len(w.upstreams))
		u.address = ip + ":" + freePort(ip)
	}
	w.upstreams = append(w.upstreams, u)
	return u.start()
}

// startInstances starts n instances and waits until all are ready.
func (w *world) startInstances(n int) error {
	for k := range n {
		ip := fmt.Sprintf("%s.%d", w.net, 10+k)
		i := &instance{w: w, name: fmt.Sprintf("front-%d", k+1), zone: zones[k%len(zones)], ip: ip, callers: ip + ":" + freePort(ip), ready: ip + ":" + freePort(ip), peersPort: freePort(ip)}
		w.instances = append(w.instances, i)
		if err := i.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, i := range w.instances {
		for !i.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready", i.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// holder returns the instance that is named in the store key of the holder, or nil.
func (w *world) holder() *instance {
	entry, err := w.store.Store().Get(context.Background(), "peridotmoor/holder")
	if err != nil {
		return nil
	}
	var key struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(entry.Value, &key)
	for _, i := range w.instances {
		if i.name == key.Name {
			return i
		}
	}
	return nil
}

// end ends all processes that the case started.
func (w *world) end() {
	for _, i := range w.instances {
		i.end()
	}
}

// verdict returns the exit code of the case.
func (w *world) verdict() int {
	if f := w.failure.Load(); f != nil {
		w.rec.say("the case could not run: %s", *f)
		return 2
	}
	if n := w.broken.Load(); n > 0 {
		w.rec.say("the rule was broken %d times", n)
		return 1
	}
	w.rec.say("the rule held")
	return 0
}
