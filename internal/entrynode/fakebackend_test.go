package entrynode

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeBackend is a backend server that owns keys: it checks fencing tokens, executes a
// request only while it has a grant for the key, and counts executions by request ID.
type fakeBackend struct {
	name       string
	http       *httptest.Server
	mu         sync.Mutex
	grants     map[int]keyGrant // by key
	orders     []receivedOrder
	executions map[string]int
	// arrivals holds when each request that it did not misdirect arrived.
	arrivals []time.Time
	// limit is the rate limit in requests/s that the server names, or "".
	limit atomic.Pointer[string]
	// leaving makes the server say in all its responses that it is leaving.
	leaving atomic.Bool
	// unkeyed servers execute the requests of all keys.
	unkeyed bool
	// draining servers fail health checks.
	draining atomic.Bool
	// crashes counts the requests for crashPath.
	crashes atomic.Int64
	// serviceTime is how long the execution of a request takes.
	serviceTime atomic.Int64 // nanoseconds
	// onExecute is called before a request for the key is executed, with the server's name.
	onExecute func(key int, name string)
}

// newFakeBackend returns a server that has an address and does not serve yet.
func newFakeBackend(name string) *fakeBackend {
	b := &fakeBackend{name: name, grants: map[int]keyGrant{}, executions: map[string]int{}}
	b.serviceTime.Store(int64(5 * time.Millisecond))
	b.http = httptest.NewUnstartedServer(b)
	b.http.Listener = arrivalListener{b.http.Listener}
	b.http.Config.ConnContext = withArrivalConn
	return b
}

// start makes the server serve. What its requests read must be complete before.
func (b *fakeBackend) start(t *testing.T) {
	b.http.Start()
	t.Cleanup(b.http.Close)
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if limit := b.limit.Load(); limit != nil {
		w.Header().Set("Server-Limit", *limit)
	}
	if b.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		b.handleGrant(w, r)
	case "/health":
		w.Header().Set("X-Instance-Id", b.name)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		b.handleRequest(w, r)
	}
}

func (b *fakeBackend) handleGrant(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
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
	arrivedAt := *r.Context().Value(arrivalContextKey{}).(*arrivalConn).arrivedAt.Load()
	received := receivedOrder{server: b.name, arrivedAt: arrivedAt, action: r.URL.Path, from: o.From, to: o.To, fence: o.Fence, startedAt: startedAt, status: http.StatusOK}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer func() { b.orders = append(b.orders, received) }()
	received.appliedAt = time.Now()
	if r.URL.Path == "/release" {
		for key := o.From; key <= o.To; key++ {
			b.grants[key] = keyGrant{fence: b.grants[key].fence}
		}
		w.Header().Set("X-Handover", "h")
		return
	}
	for key := o.From; key <= o.To; key++ {
		if b.grants[key].fence > o.Fence {
			received.status = http.StatusConflict
			w.WriteHeader(received.status)
			return
		}
	}
	received.expiresAt = received.appliedAt.Add(time.Duration(o.GrantDuration * float64(time.Second)))
	for key := o.From; key <= o.To; key++ {
		b.grants[key] = keyGrant{o.Fence, received.expiresAt}
	}
	w.Header().Set("X-Handover", "h")
}

func (b *fakeBackend) grantOf(key int) keyGrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grants[key]
}

func (b *fakeBackend) ownsKey(key int) bool {
	return time.Now().Before(b.grantOf(key).expiresAt)
}

// executed returns how often the request was executed.
func (b *fakeBackend) executed(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[id]
}

// ordersFor returns the received orders for the key.
func (b *fakeBackend) ordersFor(key int) []receivedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []receivedOrder
	for _, o := range b.orders {
		if o.contains(key) {
			out = append(out, o)
		}
	}
	return out
}

func (b *fakeBackend) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil || !b.unkeyed && !b.ownsKey(key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == crashPath {
		b.crashes.Add(1)
		panic(http.ErrAbortHandler) // ends the connection without a response
	}
	b.onExecute(key, b.name)
	b.mu.Lock()
	b.executions[id]++
	b.arrivals = append(b.arrivals, time.Now())
	b.mu.Unlock()
	body, _ := io.ReadAll(r.Body) // on an error the caller is gone and needs no response
	time.Sleep(time.Duration(b.serviceTime.Load()))
	w.Header().Set("X-Response-Stamp", "stamp")
	w.Header().Set("Seen-Team", r.Header.Get("X-Tenant"))
	w.Header().Set("Seen-Authorization", r.Header.Get("Authorization"))
	fmt.Fprintf(w, "%s:%s:%s", id, r.URL.Path, body)
}
