package owners

import (
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Table is the state of all services at the holder. It is not safe for
// concurrent use: the holder's goroutine owns it.
type Table struct {
	epoch      int64
	holder     string
	fenceCount int64
	services   map[string][]*rangeState
	version    uint64
	// planVersion is the version of the last change that the store must know.
	planVersion uint64
	// dirty is set while the plan differs from the stored record.
	dirty bool
	// suspects are lives that refuse connections or answer no orders, with the end of the suspicion.
	suspects map[fleet.Incarnation]time.Time
	// now is the time of the plan that is being made.
	now time.Time
	// moves are the plans since the last TakeMoves.
	moves []Move
	// failures counts the orders in a row that a life did not answer.
	failures map[fleet.Incarnation]int
	// serverCounts holds the number of servers of services without ranges.
	serverCounts map[string]serverCount
	// inheritedUntil is when the holds of earlier holders end at the latest.
	inheritedUntil time.Time
	// grantsInFlight are the grants under way to each life: what they grant may arrive at any moment.
	grantsInFlight map[fleet.Incarnation][]Order
	// ordersInFlight counts the orders under way to each life.
	ordersInFlight map[fleet.Incarnation]int
	orderCount     uint64
	// grantDuration is the current length of grants.
	grantDuration time.Duration
}

// NewTable takes over a record for a new holder: each range is granted again
// to its owner under a higher fence, which ends the say of earlier holders.
// Holds of earlier holders end at until at the latest.
func NewTable(record Record, holder string, until time.Time) *Table {
	t := &Table{
		epoch:          record.Epoch,
		holder:         holder,
		services:       map[string][]*rangeState{},
		suspects:       map[fleet.Incarnation]time.Time{},
		failures:       map[fleet.Incarnation]int{},
		serverCounts:   map[string]serverCount{},
		inheritedUntil: until,
		grantsInFlight: map[fleet.Incarnation][]Order{},
		ordersInFlight: map[fleet.Incarnation]int{},
		grantDuration:  GrantDuration,
	}
	for name, spans := range record.Services {
		for _, r := range spans {
			s := &rangeState{
				Interval:  Interval{From: r.From, To: r.To},
				owner:     fleet.Incarnation{Name: r.Owner, StartMS: r.StartMS},
				fence:     t.nextFence(),
				expiresBy: until,
				inherited: true,
				phase:     PhaseGranting,
			}
			if r.Previous != "" {
				// Whether the previous owner has given the range up is not known: it is
				// asked once more, and must not be granted anything.
				s.previous = &Grant{
					Server:           fleet.Incarnation{Name: r.Previous, StartMS: r.PreviousStartMS},
					Fence:            r.PreviousFence,
					ExpiresBy:        until,
					UnansweredAtMove: r.PreviousUnanswered,
					ExpiryOnly:       r.PreviousUnanswered,
					Ambiguous:        r.PreviousAmbiguous,
				}
				s.phase = PhaseReleasing
			}
			t.services[name] = append(t.services[name], s)
		}
	}
	return t
}

func (t *Table) nextFence() int64 {
	t.fenceCount++
	return t.epoch<<fenceBits + t.fenceCount
}

// Owner returns the server that holds key, and false while it has none.
func (t *Table) Owner(service string, key int) (string, bool) {
	s := t.find(service, key)
	if s == nil {
		return "", false
	}
	return s.owner.Name, s.phase == PhaseHeld
}

// ServedAt returns when a key without an owner is served again at the latest, as
// its last owner is silent, or the zero time when it may be at any moment.
func (t *Table) ServedAt(service string, key int) time.Time {
	s := t.find(service, key)
	if s == nil || s.phase != PhaseReleasing || !s.previous.unresponsive && !s.previous.ExpiryOnly {
		return time.Time{}
	}
	return s.previous.ExpiresBy
}

func (t *Table) find(service string, key int) *rangeState {
	spans := t.services[service]
	i := sort.Search(len(spans), func(i int) bool { return spans[i].To >= key })
	if i == len(spans) || !spans[i].Contains(key) {
		return nil
	}
	return spans[i]
}

// move plans a new owner for s. The record must be stored before it begins.
func (t *Table) move(service string, s *rangeState, to fleet.Incarnation, reason MoveReason) {
	version := t.newPlanVersion()
	t.moves = append(t.moves, Move{Service: service, Interval: s.Interval, From: s.owner.Name, To: to.Name, Reason: reason})
	if (s.phase == PhaseHeld || s.phase == PhaseGranting) && s.owner.Name != "" && s.previous == nil {
		s.previous = t.currentGrant(service, s)
	}
	if s.inherited && s.phase == PhaseReleasing {
		// The owner of the record may hold the range as well as the one before.
		s.previous.ExpiryOnly, s.previous.UnansweredAtMove, s.previous.Ambiguous = true, true, true
		s.previous.ExpiresBy = later(s.previous.ExpiresBy, s.expiresBy)
	}
	if reason == MoveBusy {
		s.cooldownUntil = t.now.Add(moveCooldown)
	}
	s.owner = to
	s.fence = t.nextFence()
	s.phase = PhasePlanned
	s.version = version
	s.expiresBy, s.unansweredUntil = time.Time{}, time.Time{}
	s.handover = ""
	s.orderInFlight = false
}

// currentGrant returns what the owner of s may hold when it loses the range.
func (t *Table) currentGrant(service string, s *rangeState) *Grant {
	h := &Grant{
		Server:           s.owner,
		Fence:            s.fence,
		ExpiresBy:        s.expiresBy,
		UnansweredUntil:  s.unansweredUntil,
		UnansweredAtMove: s.inherited || t.now.Before(s.unansweredUntil) || t.hasGrantInFlight(service, s.owner, s.Interval),
	}
	if s.inherited {
		h.UnansweredUntil = later(s.unansweredUntil, t.inheritedUntil)
	}
	return h
}

// TakeMoves returns the moves planned since the last call, for the log.
func (t *Table) TakeMoves() []Move {
	out := t.moves
	t.moves = nil
	return out
}

// OwnedRanges returns what is known of each range of a service, for publication and logs.
func (t *Table) OwnedRanges(service string) []OwnedRange {
	out := make([]OwnedRange, 0, len(t.services[service]))
	for _, s := range t.services[service] {
		out = append(out, OwnedRange{Interval: s.Interval, Owner: s.owner.Name, Held: s.phase == PhaseHeld})
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
