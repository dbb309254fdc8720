package quarantine

import (
	"time"
)

// crashState is the immutable state of a CrashDetector.
type crashState struct {
	suspects []suspect
	// lastEvidence is the time of the last evidence of a crash.
	lastEvidence time.Time
}
