package report

import "time"

// Step is one event of a story in plain words.
type Step struct {
	At time.Time `json:"at"`
	// Offset is the time since the start of the request.
	Offset   time.Duration `json:"offset_ns"`
	Event    int           `json:"event"`
	Instance string        `json:"instance"`
	Text     string        `json:"text"`
}

func newStep(start time.Time, r *Record) Step {
	return Step{At: r.At, Offset: r.At.Sub(start), Event: r.Event, Instance: r.Instance, Text: sentence(r)}
}
