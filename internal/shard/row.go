package shard

import (
	"context"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// row is one range of a term.
type row struct {
	bounds key.Range
	// owner is the server that is granted the range, want the one that should be.
	owner string
	want  string
	// previous is the owner before; it may get the range back.
	previous string
	// home, first and second are the owner and standbys of the last commit.
	home   string
	first  string
	second string
	phase  phase
	// listed reports, while granting, that the range is in the owner's list.
	listed bool

	state *route.RangeState
	// earlier counts requests that entered before a split or merge.
	earlier []*route.RangeState
	// derivedFrom is the generation of the first view with the row's bounds.
	derivedFrom uint64
	// heldFrom is the generation of the first view that held the range for a move.
	heldFrom uint64
	heldAt   time.Time
	retryAt  time.Time
	putOffs  int
	unwatch  context.CancelFunc

	// counted is the request count at the last measurement, rate the average in requests per second.
	counted uint64
	rate    float64
}

func newRow(bounds key.Range) *row {
	return &row{bounds: bounds, state: route.NewRangeState()}
}

// setCommitted takes over the servers of a committed range.
func (r *row) setCommitted(a assign.Range) {
	r.home, r.first, r.second = a.Owner, a.FirstStandby, a.SecondStandby
}

// isCommitted reports whether the last commit names the server for the range.
func (r *row) isCommitted(server string) bool {
	return server == r.home || server == r.first || server == r.second
}

// inList reports whether the row belongs into its owner's list.
func (r *row) inList() bool {
	return r.phase != granting || r.listed
}

// inFlight counts the requests of the range that have not ended.
func (r *row) inFlight() int64 {
	count := r.state.InFlight.Load()
	for _, s := range r.earlier {
		count += s.InFlight.Load()
	}
	return count
}

// pruneEarlier forgets the states of replaced ranges whose requests have ended.
// Until the first view with the new bounds, requests may still enter them.
func (r *row) pruneEarlier(generation uint64) {
	if generation < r.derivedFrom {
		return
	}
	r.earlier = slices.DeleteFunc(r.earlier, func(s *route.RangeState) bool { return s.InFlight.Load() == 0 })
}

// assignTo makes the row wait for a grant to server.
func (r *row) assignTo(server string) {
	if server != r.owner {
		r.previous = r.owner
	}
	r.owner = server
	r.want = server
	r.phase = granting
	r.listed = false
	r.stopWatching()
}

// abandonRequests forgets requests in flight at an owner whose grant has ended:
// that server runs no more of them for this range.
func (r *row) abandonRequests() {
	r.state = route.NewRangeState()
	r.earlier = nil
	r.counted = 0
}

func (r *row) stopWatching() {
	if r.unwatch != nil {
		r.unwatch()
		r.unwatch = nil
	}
}

// moveBackoff returns how long to wait after the nth time a move was put off.
func moveBackoff(n int) time.Duration {
	return min(time.Second<<min(n, 5), 30*time.Second)
}
