package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Conclusion is the outcome that an entry instance recorded for one attempt of the caller.
type Conclusion struct {
	At       time.Time       `json:"at"`
	Instance string          `json:"instance"`
	Outcome  outcome.Outcome `json:"outcome"`
	Kind     string          `json:"kind,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	// Duration is the time from the arrival at the entry instance to the conclusion.
	Duration time.Duration `json:"took_ns"`
	// Refused reports that the request did not pass the checks of the entry instance.
	Refused bool `json:"refused,omitempty"`

	stage outcome.Stage
}

func newConclusion(r *Record) Conclusion {
	return Conclusion{
		At:       r.At,
		Instance: r.Instance,
		Outcome:  outcome.Outcome(r.Text(fieldOutcome)),
		Kind:     r.Text(fieldKind),
		Detail:   failureReason(r),
		Duration: r.Duration(fieldDuration),
		Refused:  r.Event == events.RequestRefusedAtEntry.Number,
		stage:    stageOf(r),
	}
}
