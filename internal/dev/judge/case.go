package judge

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Case is what is judged: the callers' records and the servers' evidence of the same time.
type Case struct {
	Records   []*callers.Record
	Runs      []runlog.Execution
	Overlaps  []ownership.Overlap
	Intervals []ownership.Interval
	// Dropped counts the evidence that was lost.
	Dropped int
	// Probe is the service of the probed keys. From and To bound the time in
	// which they should have been served, and Interval is the time between probes of a key.
	Probe     string
	ProbeKeys []string
	Interval  time.Duration
	From, To  time.Time
}
