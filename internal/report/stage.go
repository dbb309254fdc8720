package report

import (
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// stageNames maps the stage names in records of holders. Entry instances write the number.
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

// stageUnknown is returned for a stage that is missing or not known to this version.
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
