package check

import "time"

// Process is one process of an instance. Times are zero for what did not happen.
type Process struct {
	Instance string
	// Number counts the processes of the instance.
	Number    int
	StartedAt time.Time
	// StoppedAt is the time of the first SIGTERM, HangupAt that of the last SIGHUP, and
	// KilledAt that of SIGKILL.
	StoppedAt, HangupAt, KilledAt time.Time
	EndedAt                       time.Time
	// Failure says how the process ended, if not with exit code 0.
	Failure string
}
