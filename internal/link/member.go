package link

import (
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Member describes an instance to the holder that it joins.
type Member struct {
	Instance string
	Domain   string
	// Address is where other instances reach the instance.
	Address string
	// ProcessorShare is the share of a processor available on the instance's machine.
	ProcessorShare float64
	// HolderChanges is how often the process has tried to join another holder than before.
	// As long as it is the same, the process has joined this holder only.
	HolderChanges uint64
	// Stopping is set once the planned stop of the instance has begun, and Ending once it
	// ends so soon that it does not become the holder.
	Stopping, Ending bool
	// Known describes the facts that the instance has, or is nil.
	Known *linkpb.Known
}

// ReadSpan returns in which span the store was read without a gap for the instance, which joins at
// now, and false if that is unknown. A join that was held up on its way makes it seem later.
func (m Member) ReadSpan(now time.Time) (span facts.ReadSpan, known bool) {
	age, unbroken := m.Known.GetReadAgeUs(), m.Known.GetUnbrokenUs()
	if age <= 0 || unbroken < 0 {
		return facts.ReadSpan{}, false
	}
	span.Until = now.Add(-microseconds(age))
	span.Since = span.Until.Add(-microseconds(unbroken))
	return span, true
}

// Name returns the name of the instance, which a restart does not change.
func (m Member) Name() string {
	name, _, _ := strings.Cut(m.Instance, "/")
	return name
}
