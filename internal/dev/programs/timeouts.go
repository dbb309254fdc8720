// Package programs starts the programs of a demo or benchmark run on loopback and
// ends them with the run.
package programs

import "time"

const (
	// readyTimeout limits the time until a started program is ready.
	readyTimeout = 8 * time.Second
	// StopTimeout limits the planned stop of a program; then it is killed.
	StopTimeout = 3 * time.Second
)
