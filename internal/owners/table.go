package owners

import (
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Table is the holder's state of all services. It is not safe for concurrent use:
// only the holder's goroutine accesses it.
type Table struct {
	epoch      int64
	holder     string
	fenceCount int64
	services   map[string][]*rangeState
	version    uint64
	// planVersion is the version of the last change that must be stored.
	planVersion uint64
	// dirty is set while the plan differs from the stored record.
	dirty bool
	// suspects holds the incarnations that answer no orders, with the time until which
	// they are assigned no keys.
	suspects map[fleet.Incarnation]time.Time
	// ended is the same for incarnations whose process is proven to have ended.
	ended map[fleet.Incarnation]time.Time
	// now is the time of the current call of Plan.
	now time.Time
	// moves are the moves planned since the last TakeMoves.
	moves []Move
	// grantChanges are the changes of grants since the last TakeGrantChanges.
	grantChanges []GrantChange
	// failures counts the consecutive orders that an incarnation did not answer.
	failures map[fleet.Incarnation]int
	// serverCounts holds the number of usable servers of services without ranges.
	serverCounts map[string]serverCount
	// rateSums holds the rates of the keys of each service as of its last plan.
	rateSums map[string]*rateSums
	// hotMoves remembers the hot keys of each service that were moved to a faster server.
	hotMoves map[string]hotMoves
	// inheritedUntil is the latest time at which grants of earlier holders expire.
	inheritedUntil time.Time
	// rangesLost is set if servers may hold keys by such grants that are in no range.
	rangesLost bool
	// grantsInFlight holds the grants in flight to each incarnation, which may take
	// effect at any moment.
	grantsInFlight map[fleet.Incarnation][]Order
	// ordersInFlight counts the orders in flight to each incarnation.
	ordersInFlight map[fleet.Incarnation]int
	// ordersUnderWay counts those to all servers.
	ordersUnderWay int
	// resumeOrdersAt holds, for services of which the limit of orders left some out, the
	// position of the first of these ranges.
	resumeOrdersAt map[string]int
	orderCount     uint64
	// grantDuration is the duration of new grants.
	grantDuration time.Duration
}

// NewTable returns the table of a new holder, which takes over a record. Each range
// is granted again to its owner with a higher fence, so that the owner rejects
// orders of earlier holders from then on. Grants of earlier holders expire at the
// given time at the latest.
func NewTable(record Record, holder string, inheritedUntil time.Time) *Table {
	t := &Table{
		epoch:          record.Epoch,
		holder:         holder,
		services:       map[string][]*rangeState{},
		suspects:       map[fleet.Incarnation]time.Time{},
		ended:          map[fleet.Incarnation]time.Time{},
		failures:       map[fleet.Incarnation]int{},
		serverCounts:   map[string]serverCount{},
		hotMoves:       map[string]hotMoves{},
		rateSums:       map[string]*rateSums{},
		inheritedUntil: inheritedUntil,
		rangesLost:     record.RangesLost,
		grantsInFlight: map[fleet.Incarnation][]Order{},
		ordersInFlight: map[fleet.Incarnation]int{},
		resumeOrdersAt: map[string]int{},
		grantDuration:  GrantDuration,
	}
	for name, ranges := range record.Services {
		for _, recorded := range ranges {
			r := &rangeState{
				Interval:  Interval{From: recorded.From, To: recorded.To},
				owner:     fleet.Incarnation{Name: recorded.Owner, StartMS: recorded.StartMS},
				fence:     t.nextFence(),
				expiresBy: inheritedUntil,
				inherited: true,
				phase:     PhaseGranting,
			}
			if recorded.Previous != "" {
				// It is not known whether the previous owner has released the range. It is
				// asked again, and must not be granted anything.
				r.previous = &Grant{
					Server:           fleet.Incarnation{Name: recorded.Previous, StartMS: recorded.PreviousStartMS},
					Fence:            recorded.PreviousFence,
					ExpiresBy:        inheritedUntil,
					UnansweredAtMove: recorded.PreviousUnanswered,
					ExpiryOnly:       recorded.PreviousUnanswered,
					Ambiguous:        recorded.PreviousAmbiguous,
				}
				r.phase = PhaseReleasing
			}
			t.services[name] = append(t.services[name], r)
		}
	}
	return t
}

func (t *Table) nextFence() int64 {
	t.fenceCount++
	return t.epoch<<fenceBits + t.fenceCount
}

// Owner returns the owner of key, and whether it holds the key. It is the planned one, except
// while a previous owner serves on.
func (t *Table) Owner(service string, key int) (string, bool) {
	r := t.find(service, key)
	if r == nil {
		return "", false
	}
	return r.servingOwner()
}

// ServedAgainBy returns the latest time at which a key without an owner is served again,
// if its previous owner must be waited for because it does not answer or may only
// expire. It returns the zero time if the key may be served at any moment.
func (t *Table) ServedAgainBy(service string, key int) time.Time {
	r := t.find(service, key)
	if r == nil || r.phase != PhaseReleasing || !r.previous.unresponsive && !r.previous.ExpiryOnly {
		return time.Time{}
	}
	return r.previous.ExpiresBy
}

func (t *Table) find(service string, key int) *rangeState {
	ranges := t.services[service]
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
	if i == len(ranges) || !ranges[i].Contains(key) {
		return nil
	}
	return ranges[i]
}

// move plans a new owner for r. The previous owner first confirms its grant, unless one is
// known to be unanswered or its process has ended: a grant that takes effect after the keys
// have moved must be known before the record says that there is none. The move starts once
// the record is stored.
func (t *Table) move(service string, r *rangeState, to fleet.Incarnation, reason MoveReason) {
	version := t.newPlanVersion()
	confirming := r.phase == PhaseConfirming || r.phase == PhaseHeld && reason != MoveRestarted && !t.now.Before(r.unansweredUntil)
	t.moves = append(t.moves, Move{Service: service, Interval: r.Interval, From: r.owner.Name, To: to.Name, Reason: reason})
	if (r.phase == PhaseHeld || r.phase == PhaseGranting) && r.owner.Name != "" && r.previous == nil {
		r.previous = t.currentGrant(service, r)
	}
	if r.inherited && r.phase == PhaseReleasing {
		// Either the owner in the record or the owner before it may hold the range.
		r.previous.ExpiryOnly, r.previous.UnansweredAtMove, r.previous.Ambiguous = true, true, true
		r.previous.ExpiresBy = later(r.previous.ExpiresBy, r.expiresBy)
	}
	switch reason {
	case MoveBusy:
		r.cooldownUntil = t.now.Add(moveCooldown)
	case MoveSpread:
		r.cooldownUntil = t.now.Add(spreadCooldown)
	}
	r.owner = to
	r.fence = t.nextFence()
	r.phase = PhasePlanned
	if confirming {
		r.phase = PhaseConfirming
		r.nextOrderAt = time.Time{}
	}
	r.version = version
	r.expiresBy, r.unansweredUntil = time.Time{}, time.Time{}
	r.issued = issuedGrant{}
	r.handover = ""
	r.orderInFlight = false
}

// currentGrant returns the grant that the owner of r may have when it loses the range.
func (t *Table) currentGrant(service string, r *rangeState) *Grant {
	grant := &Grant{
		Server:           r.owner,
		Fence:            r.fence,
		ExpiresBy:        r.expiresBy,
		UnansweredUntil:  r.unansweredUntil,
		issued:           r.issued,
		UnansweredAtMove: r.inherited || t.now.Before(r.unansweredUntil) || t.hasGrantInFlight(service, r.owner, r.Interval),
	}
	if r.inherited {
		grant.UnansweredUntil = later(r.unansweredUntil, t.inheritedUntil)
	}
	return grant
}

// TakeMoves returns the moves planned since the last call, for the log.
func (t *Table) TakeMoves() []Move {
	out := t.moves
	t.moves = nil
	return out
}

// OwnedRanges returns the ranges of a service as published to instances.
func (t *Table) OwnedRanges(service string) []OwnedRange {
	out := make([]OwnedRange, 0, len(t.services[service]))
	for _, r := range t.services[service] {
		owner, held := r.servingOwner()
		out = append(out, OwnedRange{Interval: r.Interval, Owner: owner, Held: held})
	}
	return out
}

// Services returns the names of the services that have ranges.
func (t *Table) Services() []string {
	var names []string
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
