package judge

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Input is what is judged: the callers' records and the servers' evidence of the same time.
type Input struct {
	Records   []*callers.Record
	Runs      []runlog.Run
	Overlaps  []ownership.Overlap
	Intervals []ownership.Interval
	// DroppedEvidence counts the evidence that was lost.
	DroppedEvidence int
	// ProbedService is the service of the probed keys. From and To bound the time in
	// which they should have been served, and Interval is the time between probes of a key.
	ProbedService string
	ProbeKeys     []string
	ProbeInterval time.Duration
	From, To      time.Time
}
