// Command standin-2 plays the stand-ins of the cases of this review: the platform's store, upstreams and
// consumers, as the users' pages describe them, around processes of the system.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	program := flag.String("program", "target/peridotmoor-entry", "the program of the deploy file")
	out := flag.String("record", "-", "file for what was sent, answered and run")
	play := flag.String("play", "early", "what to play")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "with the disruption")
	pids := flag.String("pids", "", "file for the ids of the processes that are started")
	flag.Parse()
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w := &world{store: newStore(), start: time.Now(), dir: dir, pids: *pids}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go func() { _ = http.Serve(l, w.store) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-stop; w.stopAll(); os.Exit(2) }()
	code := 2
	if p := plays[*play]; p != nil {
		code = p(w, *program, l.Addr().String(), *trouble)
	}
	w.stopAll()
	w.record(*out)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

// plays are the cases by name.
var plays = map[string]func(w *world, program, store string, trouble bool) int{"early": early, "slowread": slowread, "slowclose": slowclose}

func config(version int) map[string]any {
	svc := func(name string, sharded bool) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.0, "sharded": sharded, "warmup_s": 5.0}
	}
	route := func(name, prefix, kind, service string, timeout float64) map[string]any {
		return map[string]any{"name": name, "path_prefix": prefix, "kind": kind, "timeout_s": timeout, "target_latency_s": 0.5, "priority": 1, "service": service, "max_attempts": 2}
	}
	routes := []map[string]any{route("read", "/read/", "safe", "rail", 1.5), route("order", "/order/", "unsafe", "bookings", 1.5), route("upload", "/upload/", "upload", "atelier", 5), route("search", "/search/", "safe", "bookings", 6)}
	return map[string]any{"version": version, "services": []any{svc("rail", true), svc("bookings", false), svc("atelier", false)},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "header_timeout_s": 5, "idle_timeout_s": 10},
		"hosts":  []any{map[string]any{"host": "shop.example", "paths": routes}}}
}
