package judge

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Input holds the callers' records of one load and the evidence of the servers from the same time.
type Input struct {
	Records   []*callers.Record
	Runs      []runlog.Execution
	Overlaps  []ownership.Overlap
	Intervals []ownership.Interval
	// DroppedEvidence counts the runs and intervals that the servers could not store.
	DroppedEvidence int
	// ProbedService is the service of the probed keys. From and To bound the time in
	// which they should have been served, and ProbeInterval is the time between probes of a key.
	ProbedService string
	ProbeKeys     []string
	ProbeInterval time.Duration
	From, To      time.Time
}
