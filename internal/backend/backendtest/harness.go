// Package backendtest contains the contract tests of backend.Server. They run
// against each implementation, with a backend server that injects faults.
package backendtest

import (
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Harness is an implementation under test with the control of the server that it calls.
type Harness struct {
	Server  backend.Server
	Control ServerControl
}

// Run runs all contract tests.
func Run(t *testing.T, open NewHarnessFunc) {
	cases := append(sendCases(), failureCases()...)
	cases = append(cases, grantCases()...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t, c.options)) })
	}
}

// caseTimeout ends a case that hangs, so that its failure is reported.
const caseTimeout = 30 * time.Second

// distantExpiry is an expiry that a case reaches only by advancing the clock.
const distantExpiry = time.Hour

var shard = key.ShardID{Service: "bosho", Index: 0}

// order returns an order with a token of the given ballot.
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
		Deadline:   time.Now().Add(caseTimeout),
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

// allKeys is the complete hash space.
var allKeys = []key.Range{{}}

// grant reads the server's clock and grants ranges for the duration d.
func grant(t *testing.T, h Harness, ballot uint64, d time.Duration, ranges []key.Range) (backend.GrantResponse, error) {
	t.Helper()
	seen, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(ballot)})
	if err != nil {
		return seen, err
	}
	return h.Server.Grant(t.Context(), backend.Grant{Order: order(ballot), Ranges: ranges, Expiry: seen.Clock + d})
}

// mustGrant is like grant, but fails the test on an error.
func mustGrant(t *testing.T, h Harness, ballot uint64, d time.Duration, ranges []key.Range) backend.GrantResponse {
	t.Helper()
	response, err := grant(t, h, ballot, d, ranges)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	return response
}
