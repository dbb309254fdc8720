// Package programs starts the programs of a run on loopback, and ends all of
// them with it.
package programs

import "time"

const (
	// readyTimeout bounds the start of one program.
	readyTimeout = 8 * time.Second
	// StopTimeout is how long a program gets for its planned stop before it is killed.
	StopTimeout = 3 * time.Second
)
