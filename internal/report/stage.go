package report

import (
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// stageNames are the names of stages in the records of holders. Entries write
// the number.
var stageNames = map[string]outcome.Stage{
	"entry":             outcome.StageEntry,
	"forward-unsent":    outcome.StageForwardUnsent,
	"forward-sent":      outcome.StageForwardSent,
	"queued":            outcome.StageQueued,
	"connect":           outcome.StageConnect,
	"refused-by-server": outcome.StageRefusedByServer,
	"written":           outcome.StageWritten,
	"whole":             outcome.StageComplete,
}

// stageUnknown stands for a stage that a record does not name.
const stageUnknown = outcome.Stage(-1)

// stageOf returns the stage that a record names.
func stageOf(r *Record) outcome.Stage {
	switch value := r.Fields[fieldStage].(type) {
	case float64:
		if value >= 0 && value <= float64(outcome.StageComplete) {
			return outcome.Stage(value)
		}
	case string:
		if stage, found := stageNames[value]; found {
			return stage
		}
	}
	return stageUnknown
}
