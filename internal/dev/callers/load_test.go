package callers

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/payload"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// fakeEntry is an entry instance whose responses are written by the test case.
type fakeEntry struct {
	mu      sync.Mutex
	ids     map[string][]string
	respond func(w http.ResponseWriter, id string, size int)
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		return
	}
	content, _ := io.ReadAll(r.Body)
	id := r.Header.Get(backend.HeaderRequestID)
	e.mu.Lock()
	e.ids[id] = append(e.ids[id], r.Host+" "+r.Header.Get(backend.HeaderIdempotent)+" "+strconv.Itoa(len(content)))
	e.mu.Unlock()
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		size = 64
	}
	e.respond(w, id, size)
}

// send sends 20 requests of the kind through two endpoints of a fake entry instance.
// It returns the records and, for each request ID, the requests that were received.
func send(t *testing.T, kind RequestKind, respond func(http.ResponseWriter, string, int)) ([]*Record, map[string][]string) {
	fake := &fakeEntry{ids: map[string][]string{}, respond: respond}
	var entries []*EntryInstance
	for range 2 {
		server := httptest.NewServer(fake)
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		entries = append(entries, &EntryInstance{CallerAddress: address, OperatorAddress: address})
	}
	balancer := NewBalancer(entries)
	defer balancer.Close()
	client := NewClient(10)
	defer client.Close()
	load := Load{Kinds: []RequestKind{kind}, Rate: 1000, Count: 20, Seed: 1}
	records := load.Run(t.Context(), balancer, client)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return records, fake.ids
}

func writeCompleteResponse(w http.ResponseWriter, id string, size int) {
	w.Header().Set(backend.HeaderRequestID, id)
	w.Header().Set(backend.HeaderOutcome, string(outcome.Answered))
	_, _ = w.Write(payload.Make(id, size))
}

func refuseWith(claimed outcome.Outcome) func(http.ResponseWriter, string, int) {
	return func(w http.ResponseWriter, id string, _ int) {
		w.Header().Set(backend.HeaderOutcome, string(claimed))
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal{Kind: "k", RetryAfterMS: 1})
	}
}

var (
	read  = RequestKind{Name: "r", Service: "s", Method: http.MethodGet, Weight: 1, Keys: 5, Path: "/p", ResponseBytes: 500}
	write = RequestKind{Name: "w", Service: "s", Method: http.MethodPost, Weight: 1, Keys: 5, Path: "/p", BodyBytes: 300}
)

func TestCompleteResponses(t *testing.T) {
	is := is.New(t)
	records, seen := send(t, read, writeCompleteResponse)
	is.Equal(len(records), 20)
	is.Equal(len(seen), 20)
	for _, record := range records {
		is.Equal(record.FinalOutcome(), outcome.Answered)
		is.True(!record.HasMismatchedResponse())
		is.Equal(len(record.Attempts), 1)
		is.True(strings.HasSuffix(seen[record.RequestID][0], " true 0"))
	}
}

// Guards against callers that accept the response of another request or a partial one.
func TestMismatchedResponsesAreDetected(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter, string, int){
		"other ID":   func(w http.ResponseWriter, id string, size int) { writeCompleteResponse(w, "other", size) },
		"other body": func(w http.ResponseWriter, id string, size int) { writeResponse(w, id, payload.Make("other", size)) },
		"part": func(w http.ResponseWriter, id string, size int) {
			writeResponse(w, id, payload.Make(id, size)[:size-1])
		},
		"empty": func(w http.ResponseWriter, id string, _ int) { writeResponse(w, id, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			records, _ := send(t, read, respond)
			for _, record := range records {
				is.True(record.HasMismatchedResponse())
			}
		})
	}
}

func writeResponse(w http.ResponseWriter, id string, body []byte) {
	w.Header().Set(backend.HeaderRequestID, id)
	w.Header().Set(backend.HeaderOutcome, string(outcome.Answered))
	_, _ = w.Write(body)
}

// Guards against resends with another ID or to the same instance: the router could
// not recognize a resend, and the demo would not test the request records.
func TestResendsKeepTheID(t *testing.T) {
	is := is.New(t)
	lost := func(http.ResponseWriter, string, int) { panic(http.ErrAbortHandler) }
	for name, respond := range map[string]func(http.ResponseWriter, string, int){
		"lost":    lost,
		"unknown": refuseWith(outcome.Unknown),
		"not run": refuseWith(outcome.NotRun),
	} {
		records, seen := send(t, write, respond)
		is.Equal(len(seen), 20)
		for _, record := range records {
			sent := seen[record.RequestID]
			is.Equal(len(sent), maxAttempts)
			is.True(sent[0] != sent[1])
			is.True(strings.HasSuffix(sent[0], " false 300"))
			is.Equal(record.FinalOutcome() == outcome.NotRun, name == "not run")
			is.Equal(record.ClaimedNotRun(), name == "not run")
		}
	}
}

// Guards against counting a request that reached no instance as reported "not run".
func TestUnsentRequestIsNotClaimedNotRun(t *testing.T) {
	is := is.New(t)
	record := &Record{Attempts: []Attempt{{}, {}}}
	is.Equal(record.FinalOutcome(), outcome.NotRun)
	is.True(!record.ClaimedNotRun())
}

// Guards against a balancer that keeps sending to an instance which is not ready.
func TestBalancerSkipsInstancesThatAreNotReady(t *testing.T) {
	is := is.New(t)
	entries := []*EntryInstance{{CallerAddress: "a"}, {CallerAddress: "b"}, {CallerAddress: "c"}}
	b := &Balancer{entries: entries}
	entries[0].ready.Store(true)
	entries[2].ready.Store(true)
	seen := map[string]int{}
	for range 10 {
		seen[b.Pick(nil).CallerAddress]++
	}
	is.Equal(seen["b"], 0)
	is.True(seen["a"] > 0 && seen["c"] > 0)
	is.Equal(b.Pick(entries[0]), entries[2])
	entries[0].ready.Store(false)
	entries[2].ready.Store(false)
	is.True(b.Pick(entries[0]) != entries[0])
}

func TestMixFollowsWeights(t *testing.T) {
	is := is.New(t)
	l := Load{Kinds: []RequestKind{{Name: "a", Weight: 90}, {Name: "b", Weight: 10}, {Name: "never"}}}
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[string]int{}
	for range 10_000 {
		seen[l.pickKind(random).Name]++
	}
	is.True(seen["b"] > 800 && seen["b"] < 1200)
	is.Equal(seen["never"], 0)
}
