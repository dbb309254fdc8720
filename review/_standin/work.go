package main

import "time"

// work is a request that an upstream runs.
type work struct {
	id    string
	key   int
	began time.Time
}
