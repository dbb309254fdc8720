package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// testServers are two servers of a service whose log and owners they share.
type testServers struct {
	t        *testing.T
	log      *runlog.Log
	owners   *Owners
	kv       *memstore.Store
	arrivals Arrivals
	a, b     *Server
}

func newTestServers(t *testing.T, keyed bool) *testServers {
	s := &testServers{t: t, log: runlog.New(), owners: NewOwners(), kv: memstore.New()}
	config := Config{Service: "s", Domain: "d", Keyed: keyed, Slots: 1, ClockRate: 1, Heartbeat: 50 * time.Millisecond}
	s.a, s.b = NewServer("a", config, s.kv, s.log, s.owners, &s.arrivals), NewServer("b", config, s.kv, s.log, s.owners, &s.arrivals)
	for _, server := range []*Server{s.a, s.b} {
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
	}
	return s
}

// call sends a call to the server and returns its response with the body, or nil if there is none.
func (s *testServers) call(server *Server, method, path, body string, header ...string) (*http.Response, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+server.current.proxy.Address()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for n := 0; n < len(header); n += 2 {
		request.Header.Set(header[n], header[n+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, ""
	}
	return response, string(content)
}

func (s *testServers) send(server *Server, id string, work, key int) (*http.Response, string) {
	return s.call(server, http.MethodGet, fmt.Sprintf("/p/x?work_ms=%d&size=100", work), "", "X-Attempt-Id", id, "X-Deadline-Ms", "5000", "X-Shard-Key", fmt.Sprint(key))
}

func (s *testServers) grant(server *Server, path string, fence int) int {
	response, _ := s.call(server, http.MethodPost, path, fmt.Sprintf(`{"from":0,"to":9,"fence":%d,"hold_s":5}`, fence))
	return response.StatusCode
}

func (s *testServers) awaitRuns(count int) {
	s.t.Helper()
	if s.log.Wait(s.t.Context(), func(runs []runlog.Execution) bool { return len(runs) == count }) != nil {
		s.t.Fatal("the request was not run")
	}
}

// Guards against answers that cannot be traced to their run, a queue without a limit,
// and requests for another incarnation that run.
func TestRequests(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, false)
	response, body := s.send(s.a, "x", 0, 0)
	is.Equal(response.Header.Get("X-Response-Stamp"), "a.1.0")
	is.Equal(response.Header.Get("X-Attempt-Id"), "x")
	is.NoErr(payload.Check("a.1.0", 100, []byte(body)))
	response, _ = s.call(s.a, http.MethodGet, "/p/x", "", "X-Attempt-Id", "y", "X-Deadline-Ms", "5000", "X-Expect-Instance", "a.2")
	is.Equal(response.StatusCode, http.StatusMisdirectedRequest)
	done := make(chan int, 2)
	for n := range 2 {
		go func() { response, _ := s.send(s.a, fmt.Sprint(n), 200, 0); done <- response.StatusCode }()
	}
	s.awaitRuns(2)
	for s.a.current.waiting.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	response, _ = s.send(s.a, "z", 0, 0)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(headerNotExecuted), "1")
	is.Equal(<-done, 200)
	is.Equal(<-done, 200)
}

// Guards against a server that goes on with a request whose connection has closed, and
// against entries that outlive a crash.
func TestCrash(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, false)
	go s.send(s.a, "x", 60_000, 0)
	s.awaitRuns(1)
	s.a.current.proxy.Close()
	is.NoErr(s.log.Wait(t.Context(), func(runs []runlog.Execution) bool { return runs[0].Cancelled && !runs[0].Answered }))
	for len(entries(s.kv)) < 2 {
		time.Sleep(time.Millisecond)
	}
	s.a.Crash()
	for len(entries(s.kv)) > 1 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(s.a.Start())
	is.Equal(s.a.ID(), "a.2")
}

func entries(kv *memstore.Store) []string {
	var keys []string
	list, _ := kv.List(context.Background(), "servers/") // fails only while a fault is injected
	for _, e := range list {
		keys = append(keys, e.Key)
	}
	return keys
}

// Guards against runs without a grant, lower fences that are accepted, and a release
// that is answered before the running requests of its keys have ended.
func TestGrants(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, true)
	response, _ := s.send(s.a, "x", 0, 3)
	is.Equal(response.StatusCode, http.StatusMisdirectedRequest)
	is.Equal(s.grant(s.a, "/grant", 7), http.StatusOK)
	is.Equal(s.grant(s.a, "/grant", 6), http.StatusConflict)
	go s.send(s.a, "y", 100, 3)
	s.awaitRuns(1)
	is.Equal(s.grant(s.a, "/release", 7), http.StatusOK)
	runs, _ := s.log.Snapshot()
	is.True(runs[0].Answered)
	response, _ = s.send(s.a, "z", 0, 3)
	is.Equal(response.StatusCode, http.StatusMisdirectedRequest)
}

// Guards against two owners of a key that are not noticed, and against a move that is
// taken for two owners.
func TestConflicts(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, true)
	s.grant(s.a, "/grant", 1)
	s.send(s.a, "x", 0, 3)
	s.grant(s.a, "/release", 1)
	s.grant(s.b, "/grant", 2)
	s.send(s.b, "y", 0, 3)
	is.Equal(len(s.owners.Conflicts()), 0)
	s.grant(s.a, "/grant", 3)
	s.send(s.a, "z", 0, 3)
	conflicts := s.owners.Conflicts()
	is.Equal(len(conflicts), 0) // b has started no request while both own the key
	s.send(s.b, "w", 0, 3)
	conflicts = s.owners.Conflicts()
	is.Equal(len(conflicts), 1)
	is.Equal(conflicts[0].RequestID, "w")
	s.owners.findShared([]int{3}, time.Now())
	is.Equal(len(s.owners.Conflicts()), 1) // not yet shared for too long
	for range 2 {
		s.owners.findShared([]int{3}, time.Now().Add(time.Second))
	}
	is.Equal(len(s.owners.Conflicts()), 2)
}
