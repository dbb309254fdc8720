package shard

import (
	"context"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// managedRange is the coordinator's state of one key range.
type managedRange struct {
	bounds key.Range
	// owner is the server that the range is granted to, desiredOwner the one that it
	// should be granted to.
	owner        string
	desiredOwner string
	// previousOwner is the owner before the current one; it may get the range back.
	previousOwner string
	// committedOwner, firstStandby and secondStandby are the servers of the last
	// commit.
	committedOwner string
	firstStandby   string
	secondStandby  string
	phase          phase
	// granted reports, in the phase granting, that the range is part of the grant to
	// its owner.
	granted bool

	state *route.RangeState
	// earlierStates count the requests that started before a split or merge.
	earlierStates []*route.RangeState
	// derivedInGeneration is the generation of the first view with these bounds.
	derivedInGeneration uint64
	// blockedInGeneration is the generation of the first view that blocks the range for
	// a move.
	blockedInGeneration uint64
	blockedAt           time.Time
	moveRetryAt         time.Time
	postponements       int
	stopWatch           context.CancelFunc

	// measuredRequests is the request count at the last measurement, rate the average
	// rate in requests per second.
	measuredRequests uint64
	rate             float64
}

func newManagedRange(bounds key.Range) *managedRange {
	return &managedRange{bounds: bounds, state: route.NewRangeState()}
}

// setCommitted takes over the owner and standbys of a committed range.
func (r *managedRange) setCommitted(a assign.Range) {
	r.committedOwner, r.firstStandby, r.secondStandby = a.Owner, a.FirstStandby, a.SecondStandby
}

// isCommitted reports whether the last commit names the server as owner or standby of
// the range.
func (r *managedRange) isCommitted(server string) bool {
	return server == r.committedOwner || server == r.firstStandby || server == r.secondStandby
}

// belongsInGrant reports whether the range is to be granted to its owner.
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

// pruneEarlierStates drops the states of replaced ranges whose requests have ended.
// Until the first view with the new bounds is published, requests may still be added to them.
func (r *managedRange) pruneEarlierStates(generation uint64) {
	if generation < r.derivedInGeneration {
		return
	}
	r.earlierStates = slices.DeleteFunc(r.earlierStates, func(s *route.RangeState) bool { return s.InFlight.Load() == 0 })
}

// assignTo makes the range wait for a grant to server.
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

// abandonRequests stops counting the requests in flight at an owner whose grant has ended:
// that server no longer runs any of them for this range.
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

// moveBackoff returns how long to wait after a move has been postponed n times before.
func moveBackoff(n int) time.Duration {
	return min(time.Second<<min(n, 5), 30*time.Second)
}
