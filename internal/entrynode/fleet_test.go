package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// fakeBackend is a backend server that owns keys: it checks fencing tokens, executes a
// request only while it has a grant for the key, and counts executions by request ID.
type fakeBackend struct {
	name       string
	http       *httptest.Server
	mu         sync.Mutex
	grants     map[int]keyGrant // by key
	executions map[string]int
	// serviceTime is how long the execution of a request takes.
	serviceTime time.Duration
	// onExecute is called before a request for the key is executed, with the server's name.
	onExecute func(key int, name string)
}

// keyGrant is the time-limited right to serve one key.
type keyGrant struct {
	fence     int64
	expiresAt time.Time
}

func newFakeBackend(t *testing.T, name string) *fakeBackend {
	b := &fakeBackend{name: name, grants: map[int]keyGrant{}, executions: map[string]int{}, serviceTime: 5 * time.Millisecond}
	b.http = httptest.NewServer(b)
	t.Cleanup(b.http.Close)
	return b
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		b.handleGrant(w, r)
	default:
		b.handleRequest(w, r)
	}
}

func (b *fakeBackend) handleGrant(w http.ResponseWriter, r *http.Request) {
	var o struct {
		From          int     `json:"from"`
		To            int     `json:"to"`
		Fence         int64   `json:"fence"`
		GrantDuration float64 `json:"hold_s"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := o.From; key <= o.To; key++ {
		if r.URL.Path == "/grant" && b.grants[key].fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := o.From; key <= o.To; key++ {
		if r.URL.Path == "/grant" {
			b.grants[key] = keyGrant{o.Fence, time.Now().Add(time.Duration(o.GrantDuration * float64(time.Second)))}
		} else {
			b.grants[key] = keyGrant{fence: b.grants[key].fence}
		}
	}
	w.Header().Set("X-Handover", "h")
}

func (b *fakeBackend) ownsKey(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.grants[key].expiresAt)
}

func (b *fakeBackend) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil || !b.ownsKey(key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.onExecute(key, b.name)
	b.mu.Lock()
	b.executions[id]++
	b.mu.Unlock()
	body, _ := io.ReadAll(r.Body) // on an error the caller is gone and needs no response
	time.Sleep(b.serviceTime)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp")
	fmt.Fprintf(w, "%s:%s:%s", id, r.URL.Path, body)
}

// defaultRouteTimeout is the timeout of the route and of the requests in most tests.
const defaultRouteTimeout = 2 * time.Second

// instance is one Node under test.
type instance struct {
	config Config
	stop   context.CancelFunc
	// done receives the result of Run, and ended is closed after it.
	done  chan error
	ended chan struct{}
}

// addressesPerInstance is the number of addresses that startInstance takes.
const addressesPerInstance = 4

// requestTimeout ends a request that is never answered. It is longer than any wait that
// the tests expect.
const requestTimeout = 5 * time.Second

// probeClient sends readiness probes. Each has a connection of its own, so that the probe
// of an instance that has ended does not wait on a kept one.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// newCaller returns a client that keeps its connections.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: requestTimeout}
}

// newSingleUseCaller returns a client that sends each request on a connection of its own.
func newSingleUseCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
}

// startInstance starts an instance on four addresses on which nothing listens.
func startInstance(t *testing.T, store, name string, addresses []string) *instance {
	t.Helper()
	i := &instance{done: make(chan error, 1), ended: make(chan struct{}), config: Config{
		Name: name, Domain: "d-" + name, CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
		StoreAddress: store, GracePeriod: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
	}}
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	go func() {
		defer close(i.ended)
		i.done <- New(i.config, io.Discard).Run(ctx)
	}()
	t.Cleanup(stop)
	return i
}

func (i *instance) ready() bool {
	response, err := probeClient.Get("http://" + i.config.ReadinessAddress + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func put(t *testing.T, s *kvstore.Server, key string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err == nil {
		_, err = s.Store().CompareAndSwap(context.Background(), key, 0, text, "")
	}
	if err != nil {
		t.Fatal(err)
	}
}

// fleet consists of three instances, three backend servers and a store.
type fleet struct {
	store     *kvstore.Server
	backends  []*fakeBackend
	instances []*instance
	mu        sync.Mutex
	conflicts []string
}

func newFleet(t *testing.T, routeTimeout time.Duration) *fleet {
	t.Helper()
	f := &fleet{store: kvstore.New()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	put(t, f.store, "op/config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "s", "sharded": true, "warmup_s": 1.0}},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
		"hosts": []any{map[string]any{"host": "h", "paths": []any{map[string]any{
			"name": "r", "path_prefix": "/p/", "kind": "unsafe", "timeout_s": routeTimeout.Seconds(), "target_latency_s": 1.0, "service": "s", "max_attempts": 2}}}},
	})
	for n := range 3 {
		b := newFakeBackend(t, fmt.Sprintf("i-%d", n))
		b.onExecute = f.recordConflicts
		f.backends = append(f.backends, b)
		put(t, f.store, "servers/"+b.name, map[string]any{
			"address": b.http.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "s", "zone": "d-a", "slots": 3},
			"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
	}
	f.startInstances(t, server.Listener.Addr().String(), "a", "b", "c")
	waitFor(t, "all instances ready", func() bool {
		for _, i := range f.instances {
			select {
			case err := <-i.done:
				t.Fatalf("instance %s ended before it was ready: %v", i.config.Name, err)
			default:
			}
			if !i.ready() {
				return false
			}
		}
		return true
	})
	return f
}

// startInstances starts an instance of each name. Their ports stay reserved until all of
// them have ended, so that no other test gets one that an instance is yet to listen on.
func (f *fleet) startInstances(t *testing.T, store string, names ...string) {
	t.Helper()
	reserved, err := ports.Reserve(addressesPerInstance * len(names))
	if err != nil {
		t.Fatal(err)
	}
	for n, name := range names {
		f.instances = append(f.instances, startInstance(t, store, name, reserved.Addresses[addressesPerInstance*n:]))
	}
	go func() {
		for _, i := range f.instances {
			<-i.ended
		}
		reserved.Release()
	}()
}

// recordConflicts records each other server that has a grant for the key while the named
// server starts to execute a request for it.
func (f *fleet) recordConflicts(key int, name string) {
	for _, b := range f.backends {
		if b.name != name && b.ownsKey(key) {
			f.mu.Lock()
			f.conflicts = append(f.conflicts, fmt.Sprintf("key %d: %s and %s", key, name, b.name))
			f.mu.Unlock()
		}
	}
}

// waitFor polls until a condition holds. The limit of 20 s only ends a hanging test;
// it checks no timing.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 20 s: " + description)
}

// sendRequest sends one non-idempotent request and returns its status and body. Status 0
// means that no response arrived.
func sendRequest(client *http.Client, i *instance, id string, key int) (int, string) {
	return sendRequestWithTimeout(client, i, id, key, defaultRouteTimeout)
}

func sendRequestWithTimeout(client *http.Client, i *instance, id string, key int, timeout time.Duration) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.config.CallerAddress+"/p/x", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func (f *fleet) countExecutions(id string) int {
	n := 0
	for _, b := range f.backends {
		b.mu.Lock()
		n += b.executions[id]
		b.mu.Unlock()
	}
	return n
}

// generateLoad sends requests through the given instances until stop is closed. It checks
// each result against the recorded executions and returns the number of successes.
func (f *fleet) generateLoad(t *testing.T, instances []*instance, stop <-chan struct{}) (answered int) {
	t.Helper()
	client := newCaller()
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered
		default:
		}
		id := fmt.Sprintf("%p-%d", stop, n)
		status, body := sendRequest(client, instances[n%len(instances)], id, n*7919%65536)
		ran := f.countExecutions(id)
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times", id, ran)
		case status == http.StatusOK && (body != id+":/p/x:" || ran != 1):
			t.Errorf("%s was answered %q and ran %d times", id, body, ran)
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran != 0:
			t.Errorf("%s was refused and ran", id)
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			t.Errorf("%s was rejected with status %d", id, status)
		}
		if status == http.StatusOK {
			answered++
		}
	}
}

// Guards against requests that run twice, refusals of requests that ran, responses that
// reach the wrong caller and two owners of a key, during a planned stop of an instance
// (possibly the holder) and an outage of the store.
func TestFleetDuringPlannedStopAndStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	stop := make(chan struct{})
	total := make(chan int, 1)
	go func() { total <- f.generateLoad(t, f.instances[1:], stop) }()

	f.instances[0].stop() // either the holder or a follower
	is.NoErr(<-f.instances[0].done)

	f.store.Store().Faults().SetUnavailable(true)
	time.Sleep(time.Second)
	f.store.Store().Faults().SetUnavailable(false)

	client := newCaller()
	defer client.CloseIdleConnections()
	answered := func() bool {
		_, body := sendRequest(client, f.instances[1], "after", 5)
		return body == "after:/p/x:"
	}
	waitFor(t, "requests are served after the outage", answered)
	close(stop)
	is.True(<-total > 0)
	is.Equal(f.conflicts, nil)
}

// Guards against keys that stay with a draining server, and against requests that fail
// because they are sent to it after its list entry says that it drains.
func TestKeysLeaveADrainingServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	draining := f.backends[0]
	stop := make(chan struct{})
	total := make(chan int, 1)
	go func() { total <- f.generateLoad(t, f.instances, stop) }()
	entry, err := f.store.Store().Get(context.Background(), "servers/"+draining.name)
	is.NoErr(err)
	text := []byte(string(entry.Value))
	var value map[string]any
	is.NoErr(json.Unmarshal(text, &value))
	value["status"].(map[string]any)["state"] = "draining"
	text, err = json.Marshal(value)
	is.NoErr(err)
	_, err = f.store.Store().CompareAndSwap(context.Background(), entry.Key, entry.Revision, text, "")
	is.NoErr(err)
	waitFor(t, "the draining server owns no key and another server owns each key", func() bool {
		for key := 0; key < 65536; key += 997 {
			if draining.ownsKey(key) || !f.backends[1].ownsKey(key) && !f.backends[2].ownsKey(key) {
				return false
			}
		}
		return true
	})
	client := newCaller()
	defer client.CloseIdleConnections()
	for n := range 20 {
		status, _ := sendRequest(client, f.instances[n%3], fmt.Sprintf("d-%d", n), n*3001)
		is.Equal(status, http.StatusOK)
	}
	close(stop)
	is.True(<-total > 0)
	is.Equal(f.conflicts, nil)
}
