package servers

import (
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Recording is the response to GET /dev/runlog: what the servers recorded.
type Recording struct {
	Executions []runlog.Execution `json:"runs"`
	// Dropped counts the executions and intervals above the limits; the recording is complete only if it is 0.
	Dropped   int                  `json:"dropped"`
	Overlaps  []ownership.Overlap  `json:"overlaps"`
	Intervals []ownership.Interval `json:"intervals"`
}
