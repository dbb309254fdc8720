package dispatch

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

var stageNames = map[outcome.Stage]string{
	outcome.StageEntry:           "entry",
	outcome.StageForwardUnsent:   "forward-unsent",
	outcome.StageForwardSent:     "forward-sent",
	outcome.StageQueued:          "queued",
	outcome.StageConnect:         "connect",
	outcome.StageRefusedByServer: "refused-by-server",
	outcome.StageWritten:         "written",
	outcome.StageComplete:        "whole",
}

// stageName returns the name of a stage in events. The stage shows why the outcome
// is certain or unknown.
func stageName(s outcome.Stage) string {
	if name, ok := stageNames[s]; ok {
		return name
	}
	return strconv.Itoa(int(s))
}
