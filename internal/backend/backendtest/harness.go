// Package backendtest is the contract of backend.Server, run against each
// implementation with a server that can be made to fail.
package backendtest

import (
	"context"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Options is what a case needs of its server. Its reports do not lag.
type Options struct {
	Keyed        bool
	ChecksTokens bool
	Slots        int
}

// Peer is the backend server behind the implementation under test.
type Peer interface {
	// FailNext makes the next request meet the fault.
	FailNext(fault Fault)
	AdvanceClock(d time.Duration)
	Freeze()
	Thaw()
	// Crash resets all connections; Start begins a new incarnation at the same address.
	Crash()
	Start() error
	SetShedding(on bool)
	// Runs returns how often the request was run. It waits until those runs have ended.
	Runs(ctx context.Context, id string) int
	// Timeout returns the remaining time that reached the server with the request.
	Timeout(id string) time.Duration
	// Started waits until the request is being run.
	Started(ctx context.Context, id string)
	// Held waits until a call has met the frozen server.
	Held(ctx context.Context)
	// Cancelled waits until a run of the request was cancelled.
	Cancelled(ctx context.Context, id string)
}

// Harness is an implementation under test and its peer.
type Harness struct {
	Server backend.Server
	Peer   Peer
}

// Open makes a harness for one case.
type Open func(t *testing.T, options Options) Harness

// Fault names a failure that one request meets.
type Fault string

// The faults that the contract needs.
const (
	Crossed        Fault = "crossed"
	NoID           Fault = "no-id"
	Short          Fault = "short"
	NoLength       Fault = "no-length"
	ResetUnread    Fault = "reset-unread"
	ResetRun       Fault = "reset-run"
	ResetHeader    Fault = "reset-header"
	ResetBody      Fault = "reset-body"
	Plain503       Fault = "plain-503"
	ForeignRefusal Fault = "foreign-refusal"
	Hang           Fault = "hang"
)

// contractCase is one case of the contract.
type contractCase struct {
	name    string
	options Options
	run     func(t *testing.T, h Harness)
}

// Run runs the whole contract.
func Run(t *testing.T, open Open) {
	cases := append(sending(), failures()...)
	cases = append(cases, granting()...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t, c.options)) })
	}
}

// limit bounds a case that hangs, so that the failure is reported.
const limit = 30 * time.Second

// far is an expiry that no case reaches without moving the clock.
const far = time.Hour

var shard = key.ShardID{Service: "bosho", Index: 0}

// order returns an order of the given ballot.
func order(ballot uint64) backend.Order {
	return backend.Order{
		Shard:  shard,
		Token:  authority.Token{Epoch: 1, Ballot: ballot},
		Holder: authority.Instance{Name: "entry-1", Incarnation: "i"},
	}
}

// get returns an idempotent request with the given ID.
func get(id string) *request.Request {
	return &request.Request{
		ID:         id,
		Service:    "bosho",
		Key:        "plot-7",
		Method:     "GET",
		Path:       "/plot?size=5000",
		Idempotent: true,
		Deadline:   time.Now().Add(limit),
	}
}

// post returns a request that is not idempotent.
func post(id string, body []byte) *request.Request {
	r := get(id)
	r.Method = "POST"
	r.Idempotent = false
	r.Buffered = body
	r.ContentLength = int64(len(body))
	return r
}

// everything is the whole hash space.
var everything = []key.Range{{}}

// grant grants ranges until the server's clock has advanced by d.
func grant(t *testing.T, h Harness, ballot uint64, d time.Duration, ranges []key.Range) (backend.GrantAnswer, error) {
	t.Helper()
	seen, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(ballot)})
	if err != nil {
		return seen, err
	}
	return h.Server.Grant(t.Context(), backend.Grant{Order: order(ballot), Ranges: ranges, Expiry: seen.Clock + d})
}

// mustGrant is grant for cases in which the server accepts it.
func mustGrant(t *testing.T, h Harness, ballot uint64, d time.Duration, ranges []key.Range) backend.GrantAnswer {
	t.Helper()
	answer, err := grant(t, h, ballot, d, ranges)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	return answer
}
