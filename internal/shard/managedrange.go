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
type managedRange struct {
	bounds key.Range
	// owner is the server that is granted the range, want the one that should be.
	owner        string
	desiredOwner string
	// previous is the owner before; it may get the range back.
	previousOwner string
	// home, first and second are the owner and standbys of the last commit.
	committedOwner string
	firstStandby   string
	secondStandby  string
	phase          phase
	// listed reports, while granting, that the range is in the owner's list.
	granted bool

	state *route.RangeState
	// earlier counts requests that entered before a split or merge.
	earlierStates []*route.RangeState
	// derivedFrom is the generation of the first view with the row's bounds.
	derivedInGeneration uint64
	// heldFrom is the generation of the first view that held the range for a move.
	blockedInGeneration uint64
	blockedAt           time.Time
	moveRetryAt         time.Time
	postponements       int
	stopWatch           context.CancelFunc

	// counted is the request count at the last measurement, rate the average in requests per second.
	measuredRequests uint64
	rate             float64
}

func newManagedRange(bounds key.Range) *managedRange {
	return &managedRange{bounds: bounds, state: route.NewRangeState()}
}

// setCommitted takes over the servers of a committed range.
func (r *managedRange) setCommitted(a assign.Range) {
	r.committedOwner, r.firstStandby, r.secondStandby = a.Owner, a.First, a.Second
}

// isCommitted reports whether the last commit names the server for the range.
func (r *managedRange) isCommitted(server string) bool {
	return server == r.committedOwner || server == r.firstStandby || server == r.secondStandby
}

// inList reports whether the row belongs into its owner's list.
func (r *managedRange) belongsInGrant() bool {
	return r.phase != granting || r.granted
}

// inFlight counts the requests of the range that have not ended.
func (r *managedRange) inFlight() int64 {
	count := r.state.InFlight.Load()
	for _, s := range r.earlierStates {
		count += s.InFlight.Load()
	}
	return count
}

// pruneEarlier forgets the states of replaced ranges whose requests have ended.
// Until the first view with the new bounds, requests may still enter them.
func (r *managedRange) pruneEarlierStates(generation uint64) {
	if generation < r.derivedInGeneration {
		return
	}
	r.earlierStates = slices.DeleteFunc(r.earlierStates, func(s *route.RangeState) bool { return s.InFlight.Load() == 0 })
}

// assignTo makes the row wait for a grant to server.
func (r *managedRange) assignTo(server string) {
	if server != r.owner {
		r.previousOwner = r.owner
	}
	r.owner = server
	r.desiredOwner = server
	r.phase = granting
	r.granted = false
	r.stopWatching()
}

// abandonRequests forgets requests in flight at an owner whose grant has ended:
// that server runs no more of them for this range.
func (r *managedRange) abandonRequests() {
	r.state = route.NewRangeState()
	r.earlierStates = nil
	r.measuredRequests = 0
}

func (r *managedRange) stopWatching() {
	if r.stopWatch != nil {
		r.stopWatch()
		r.stopWatch = nil
	}
}

// moveBackoff returns how long to wait after the nth time a move was put off.
func moveBackoff(n int) time.Duration {
	return min(time.Second<<min(n, 5), 30*time.Second)
}
