package servers

import (
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Recording is the answer to GET /dev/runlog.
type Recording struct {
	Executions []runlog.Execution `json:"runs"`
	// Dropped counts the runs and intervals that did not fit; the evidence is whole only when it is 0.
	Dropped   int                  `json:"dropped"`
	Overlaps  []ownership.Overlap  `json:"overlaps"`
	Intervals []ownership.Interval `json:"intervals"`
}
