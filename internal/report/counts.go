package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Counts are numbers of requests by outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// NotRecorded counts the requests without a recorded outcome.
	NotRecorded int `json:"not_recorded"`
}

func (c *Counts) add(o outcome.Outcome) {
	c.Sent++
	switch o {
	case outcome.Answered:
		c.Answered++
	case outcome.NotRun:
		c.NotRun++
	case outcome.Unknown:
		c.Unknown++
	default:
		c.NotRecorded++
	}
}
