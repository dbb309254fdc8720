package quarantine

import (
	"time"
)

type crashState struct {
	suspects []suspect
	// lastEvidence is when the last evidence came.
	lastEvidence time.Time
}
