package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
)

// settingsKey is the key under which the fakes store the settings tree.
const settingsKey = "settings/current"

// fakeCtl stores the settings tree unchecked; its wait command returns immediately.
func fakeCtl(args []string) int {
	if args[0] == "wait" {
		return 0
	}
	text, err := os.ReadFile(args[len(args)-1])
	if err != nil {
		return 1
	}
	s, err := httpstore.New(args[2], 1)
	if err != nil {
		return 1
	}
	current, _ := s.Get(context.Background(), settingsKey)
	if _, err := s.CompareAndSwap(context.Background(), settingsKey, current.Revision, text, ""); err != nil {
		return 1
	}
	return 0
}

// fakeReport rejects every run log, after it has checked that the file is readable and not empty.
func fakeReport(args []string) int {
	if len(args) != 7 || args[0] != "verify" || args[1] != "--runlog" || args[3] != "--callers" {
		fmt.Println("wrong arguments")
		return 2
	}
	var evidence servers.Recording
	content, err := os.ReadFile(args[2])
	if err != nil || json.Unmarshal(content, &evidence) != nil || len(evidence.Executions) == 0 {
		fmt.Println("no run log")
		return 2
	}
	fmt.Println("refused by the report")
	return 1
}

// router is a fake router that forwards each request once: for bosho to the owner
// of the key, otherwise to the next server of the service. It grants each server of
// bosho an equal part of the keys and records orders in the store, which is fast
// enough for the load of a test. fault makes it violate an invariant.
type router struct {
	store   *httpstore.Store
	servers map[string][]*httpbackend.Server
	next    atomic.Uint64
	fault   string
	name    string
}

func fakeRouter(args []string) int {
	config, err := ini.Load(args[1])
	if err != nil {
		return 1
	}
	listen := config.Section("listen")
	r, err := newRouter(config.Section("platform").Key("store").String(), config.Section("instance").Key("name").String())
	if err != nil {
		fmt.Println(err)
		return 1
	}
	go func() { _ = http.ListenAndServe(listen.Key("callers").String(), r) }()
	operators := http.NewServeMux()
	operators.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.ListenAndServe(listen.Key("operators").String(), operators) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	if r.fault == "stays" {
		time.Sleep(time.Minute)
	}
	return 0
}

func newRouter(platform, name string) (*router, error) {
	s, err := httpstore.New(platform, 20)
	if err != nil {
		return nil, err
	}
	entry, err := s.Get(context.Background(), settingsKey)
	if err != nil {
		return nil, err
	}
	tree, err := ini.Load(entry.Value)
	if err != nil {
		return nil, err
	}
	r := &router{name: name, store: s, servers: map[string][]*httpbackend.Server{}, fault: tree.Section("").Key("fault").String()}
	for _, section := range tree.Sections() {
		name, found := strings.CutPrefix(section.Name(), "server.")
		if !found {
			continue
		}
		service := section.Key("service").String()
		r.servers[service] = append(r.servers[service], httpbackend.New(name, section.Key("address").String(), 20))
	}
	for i := range r.servers[keyedService] {
		if err := r.grant(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// keyedService is the only service that the fake router partitions by key.
const keyedService = "bosho"

var order = backend.Order{Shard: key.ShardID{Service: keyedService}}

// grant grants the server with the given index its part of the keys.
func (r *router) grant(number int) error {
	part := key.ShardRange(number, len(r.servers[keyedService]))
	if r.fault == "owners" {
		part = key.Range{}
	}
	named := order
	named.Holder.Name = r.name
	grant := backend.Grant{Order: named, Ranges: []key.Range{part}, Expiry: 1 << 60}
	_, err := r.servers[keyedService][number].Grant(context.Background(), grant)
	return err
}

// pick returns the server for the request. It renews the grant of an owner, because a restarted server has none.
func (r *router) pick(out *request.Request) *httpbackend.Server {
	servers := r.servers[out.Service]
	if out.Service != keyedService {
		return servers[r.next.Add(1)%uint64(len(servers))]
	}
	owner := key.ShardIndex(key.HashOf(out.Key), len(servers))
	_ = r.grant(owner)
	return servers[owner]
}

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	parts := strings.SplitN(strings.TrimPrefix(in.URL.RequestURI(), "/"), "/", 3)
	content, err := io.ReadAll(in.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	timeout, _ := strconv.Atoi(in.Header.Get(backend.HeaderTimeoutMS))
	out := &request.Request{
		ID:         in.Header.Get(backend.HeaderRequestID),
		Service:    parts[0],
		Key:        parts[1],
		Method:     in.Method,
		Path:       "/" + parts[2],
		Idempotent: in.Header.Get(backend.HeaderIdempotent) == "true",
		Deadline:   time.Now().Add(time.Duration(timeout) * time.Millisecond),
		Buffered:   content,
	}
	server := r.pick(out)
	if !out.Idempotent && !r.claimOrder(in.Context(), out.ID) {
		r.refuse(w, out, outcome.Unknown)
		return
	}
	if r.fault == "twice" {
		if response, err := server.Send(in.Context(), order, out); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	response, err := server.Send(in.Context(), order, out)
	if err != nil {
		r.refuse(w, out, problem.From(err).Outcome)
		return
	}
	defer response.Body.Close()
	r.writeResponse(w, out, response)
}

// claimOrder reports whether no router has accepted the request before. An order
// that is resent after its router was killed must not run again.
func (r *router) claimOrder(ctx context.Context, id string) bool {
	_, err := r.store.CompareAndSwap(ctx, "orders/"+id, 0, nil, "")
	return err == nil
}

func (r *router) writeResponse(w http.ResponseWriter, out *request.Request, response *request.Response) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.refuse(w, out, outcome.Unknown)
		return
	}
	switch r.fault {
	case "not-run":
		r.refuse(w, out, outcome.NotRun)
		return
	case "crossed":
		content[len(content)/2]++
	}
	w.Header().Set(backend.HeaderRequestID, out.ID)
	w.Header().Set(backend.HeaderOutcome, string(outcome.Answered))
	w.WriteHeader(response.Status)
	_, _ = w.Write(content)
}

func (r *router) refuse(w http.ResponseWriter, out *request.Request, claimed outcome.Outcome) {
	w.Header().Set(backend.HeaderRequestID, out.ID)
	w.Header().Set(backend.HeaderOutcome, string(claimed))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(map[string]any{"kind": "fake", "outcome": claimed})
}
