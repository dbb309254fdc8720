package report

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Instance is what the records show about the completeness of one instance's records.
type Instance struct {
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Callers are the addresses at which it took requests, one for each start.
	Callers []string  `json:"callers"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Records counts the lines of the instance.
	Records int `json:"records"`
	// Ended reports whether its last run ended in a planned stop.
	Ended bool `json:"ended"`
	// Killed holds the time of the last record of each run that did not end in
	// a planned stop. What was to be written after it is missing.
	Killed []time.Time `json:"killed,omitempty"`
	// Dropped counts the lines that the instance itself reports as dropped.
	Dropped int `json:"dropped"`
	// DroppedAt is when the latest loss was reported.
	DroppedAt time.Time `json:"-"`
	// NoStart reports that the records do not begin with a start of the instance.
	NoStart bool `json:"no_start"`
}

// add reads the next record of the instance in the order of time.
func (i *Instance) add(r *Record) {
	if i.Records == 0 {
		i.First = r.At
		i.NoStart = r.Event != events.Started.Number
	}
	switch r.Event {
	case events.Started.Number:
		if i.Records > 0 && !i.Ended {
			i.Killed = append(i.Killed, i.Last)
		}
		i.Callers = append(i.Callers, r.Text(fieldCallers))
		i.Ended = false
	case events.Stopped.Number:
		i.Ended = true
	case events.Dropped.Number:
		i.Dropped += int(r.Number(fieldCount))
		i.DroppedAt = r.At
	}
	if r.Domain != "" {
		i.Domain = r.Domain
	}
	i.Last = r.At
	i.Records++
}

// close notes a last run without the end of a planned stop.
func (i *Instance) close() {
	if !i.Ended {
		i.Killed = append(i.Killed, i.Last)
	}
}

// Complete reports whether no record of the instance is known to be missing.
func (i *Instance) Complete() bool {
	return len(i.Killed) == 0 && i.Dropped == 0 && !i.NoStart
}

// losses says in words which records of the instance are missing.
func (i *Instance) losses() []string {
	var found []string
	if i.NoStart {
		found = append(found, fmt.Sprintf("what instance %s wrote before %s: its records do not begin with its start", i.Name, i.First.Format(time.RFC3339)))
	}
	for _, at := range i.Killed {
		found = append(found, fmt.Sprintf("what instance %s did after %s: it ended without a planned stop, or its records are cut off", i.Name, at.Format(time.RFC3339Nano)))
	}
	if i.Dropped > 0 {
		found = append(found, fmt.Sprintf("%d lines that instance %s dropped", i.Dropped, i.Name))
	}
	return found
}
