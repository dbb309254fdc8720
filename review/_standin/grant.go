package main

import "time"

// grant is a right to keys that an upstream has got.
type grant struct {
	from, to int
	fence    int64
	until    time.Time
}

func (g grant) covers(key int) bool { return key >= g.from && key <= g.to }

// grantWire is the body of a grant and of a release.
type grantWire struct {
	From     int     `json:"from"`
	To       int     `json:"to"`
	Fence    int64   `json:"fence"`
	HoldS    float64 `json:"hold_s"`
	Handover string  `json:"handover"`
}
