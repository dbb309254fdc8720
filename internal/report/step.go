package report

import "time"

// Step is one event in the history of a request, described in a sentence.
type Step struct {
	At time.Time `json:"at"`
	// Offset is the time since the start of the request.
	Offset   time.Duration `json:"offset_ns"`
	Event    int           `json:"event"`
	Instance string        `json:"instance"`
	Text     string        `json:"text"`
	// Repeats counts the directly following events with the same text, the last of them at
	// Until.
	Repeats int           `json:"repeats,omitempty"`
	Until   time.Duration `json:"until_ns,omitempty"`
}

func newStep(start time.Time, r *Record) Step {
	return Step{At: r.At, Offset: r.At.Sub(start), Event: r.Event, Instance: r.Instance, Text: describeRecord(r)}
}

// steps describes records and merges consecutive ones with the same text.
func steps(start time.Time, records []*Record) []Step {
	var all []Step
	for _, r := range records {
		next := newStep(start, r)
		if len(all) > 0 && all[len(all)-1].Text == next.Text {
			all[len(all)-1].Repeats++
			all[len(all)-1].Until = next.Offset
			continue
		}
		all = append(all, next)
	}
	return all
}
