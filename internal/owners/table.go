package owners

import (
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Table is the state of all services at the holder. It is not safe for
// concurrent use: the holder's goroutine owns it.
type Table struct {
	epoch    int64
	holder   string
	fences   int64
	services map[string][]*span
	version  uint64
	// planned is the version of the last change that the store must know.
	planned uint64
	// dirty is set while the plan differs from the stored record.
	dirty bool
	// suspects are lives that refuse connections or answer no orders, with the end of the suspicion.
	suspects map[fleet.Life]time.Time
	// now is the time of the plan that is being made.
	now time.Time
	// moves are the plans since the last TakeMoves.
	moves []Move
	// failures counts the orders in a row that a life did not answer.
	failures map[fleet.Life]int
	// counted holds the number of servers of services without ranges.
	counted map[string]count
	// foreign is when the holds of earlier holders end at the latest.
	foreign time.Time
	// flying are the grants under way to each life: what they grant may arrive at any moment.
	flying map[fleet.Life][]Order
	// underway counts the orders under way to each life.
	underway map[fleet.Life]int
	orders   uint64
	// holdFor is the current length of grants.
	holdFor time.Duration
}

// NewTable takes over a record for a new holder: each range is granted again
// to its owner under a higher fence, which ends the say of earlier holders.
// Holds of earlier holders end at until at the latest.
func NewTable(record Record, holder string, until time.Time) *Table {
	t := &Table{
		epoch:    record.Epoch,
		holder:   holder,
		services: map[string][]*span{},
		suspects: map[fleet.Life]time.Time{},
		failures: map[fleet.Life]int{},
		counted:  map[string]count{},
		foreign:  until,
		flying:   map[fleet.Life][]Order{},
		underway: map[fleet.Life]int{},
		holdFor:  HoldFor,
	}
	for name, spans := range record.Services {
		for _, r := range spans {
			s := &span{
				Interval:  Interval{From: r.From, To: r.To},
				owner:     fleet.Life{Name: r.Owner, Born: r.Born},
				fence:     t.nextFence(),
				until:     until,
				inherited: true,
				phase:     PhaseGranting,
			}
			if r.Previous != "" {
				// Whether the previous owner has given the range up is not known: it is
				// asked once more, and must not be granted anything.
				s.previous = &Hold{
					Life:        fleet.Life{Name: r.Previous, Born: r.PreviousBorn},
					Fence:       r.PreviousFence,
					Until:       until,
					PlannedLate: r.PreviousLate,
					WaitOut:     r.PreviousLate,
					Shared:      r.PreviousShared,
				}
				s.phase = PhaseReleasing
			}
			t.services[name] = append(t.services[name], s)
		}
	}
	return t
}

func (t *Table) nextFence() int64 {
	t.fences++
	return t.epoch<<fenceBits + t.fences
}

// Owner returns the server that holds key, and false while it has none.
func (t *Table) Owner(service string, key int) (string, bool) {
	s := t.find(service, key)
	if s == nil {
		return "", false
	}
	return s.owner.Name, s.phase == PhaseHeld
}

// ServedAgainBy returns when a key without an owner is served again at the latest, as
// its last owner is silent, or the zero time when it may be at any moment.
func (t *Table) ServedAgainBy(service string, key int) time.Time {
	s := t.find(service, key)
	if s == nil || s.phase != PhaseReleasing || !s.previous.silent && !s.previous.WaitOut {
		return time.Time{}
	}
	return s.previous.Until
}

func (t *Table) find(service string, key int) *span {
	spans := t.services[service]
	i := sort.Search(len(spans), func(i int) bool { return spans[i].To >= key })
	if i == len(spans) || !spans[i].Contains(key) {
		return nil
	}
	return spans[i]
}

// move plans a new owner for s. The record must be stored before it begins.
func (t *Table) move(service string, s *span, to fleet.Life, reason MoveReason) {
	version := t.change()
	t.moves = append(t.moves, Move{Service: service, Interval: s.Interval, From: s.owner.Name, To: to.Name, Reason: reason})
	if (s.phase == PhaseHeld || s.phase == PhaseGranting) && s.owner.Name != "" && s.previous == nil {
		s.previous = t.lastHold(service, s)
	}
	if s.inherited && s.phase == PhaseReleasing {
		// The owner of the record may hold the range as well as the one before.
		s.previous.WaitOut, s.previous.PlannedLate, s.previous.Shared = true, true, true
		s.previous.Until = later(s.previous.Until, s.until)
	}
	if reason == MoveBusy {
		s.restsUntil = t.now.Add(restFor)
	}
	s.owner = to
	s.fence = t.nextFence()
	s.phase = PhasePlanned
	s.version = version
	s.until, s.lateUntil = time.Time{}, time.Time{}
	s.handover = ""
	s.busy = false
}

// lastHold returns what the owner of s may hold when it loses the range.
func (t *Table) lastHold(service string, s *span) *Hold {
	h := &Hold{
		Life:        s.owner,
		Fence:       s.fence,
		Until:       s.until,
		LateUntil:   s.lateUntil,
		PlannedLate: s.inherited || t.now.Before(s.lateUntil) || t.granting(service, s.owner, s.Interval),
	}
	if s.inherited {
		h.LateUntil = later(s.lateUntil, t.foreign)
	}
	return h
}

// TakeMoves returns the moves planned since the last call, for the log.
func (t *Table) TakeMoves() []Move {
	out := t.moves
	t.moves = nil
	return out
}

// Spans returns what is known of each range of a service, for publication and logs.
func (t *Table) Spans(service string) []View {
	out := make([]View, 0, len(t.services[service]))
	for _, s := range t.services[service] {
		out = append(out, View{Interval: s.Interval, Owner: s.owner.Name, Held: s.phase == PhaseHeld})
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
