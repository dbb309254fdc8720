package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Instance is what the records show about the instance that wrote them.
type Instance struct {
	Name string
	// Domain is its failure domain.
	Domain string
	// CallerAddresses are the addresses at which it accepted requests of callers, one for
	// each start.
	CallerAddresses []string
	// First and Last are the times of its first and last record.
	First, Last time.Time
	// Gaps are the periods from which records are known to be missing.
	Gaps []Gap

	// running is set until a planned stop is recorded.
	running bool
	// dropsSince is the start of the period in which the next reported drop happened.
	dropsSince time.Time
}

func newInstance(first *Record) *Instance {
	i := &Instance{Name: first.Instance, First: first.At, Last: first.At, dropsSince: first.At}
	if first.Event != events.InstanceStarted.Number {
		i.Gaps = append(i.Gaps, Gap{Instance: i.Name, Until: first.At, Reason: GapNoStart})
		i.running = true
	}
	return i
}

// add takes in the next record of the instance, in chronological order.
func (i *Instance) add(r *Record) {
	switch r.Event {
	case events.InstanceStarted.Number:
		if i.running {
			i.Gaps = append(i.Gaps, Gap{Instance: i.Name, From: i.Last, Until: r.At, Reason: GapNoPlannedStop})
		}
		i.running = true
		i.CallerAddresses = append(i.CallerAddresses, r.Text(fieldCallers))
	case events.InstanceStopped.Number:
		i.running = false
	case events.EventsDropped.Number:
		i.Gaps = append(i.Gaps, Gap{Instance: i.Name, From: i.dropsSince, Until: r.At, Reason: GapDropped, Lines: int(r.Number(fieldCount))})
		i.dropsSince = r.At
	}
	if r.Domain != "" {
		i.Domain = r.Domain
	}
	i.Last = r.At
}

// finish adds a gap if the last run has no record of a planned stop.
func (i *Instance) finish() {
	if i.running {
		i.Gaps = append(i.Gaps, Gap{Instance: i.Name, From: i.Last, Reason: GapNoPlannedStop})
	}
}

// mayHaveLost reports whether records that the instance wrote between from and until may
// be missing. An instance writes its lines in order, so a killed one lost only what came
// after its last line.
func (i *Instance) mayHaveLost(from, until time.Time) bool {
	for _, gap := range i.Gaps {
		if gap.Covers(from, until) {
			return true
		}
	}
	return false
}
