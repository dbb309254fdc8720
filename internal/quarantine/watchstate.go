package quarantine

import (
	"time"
)

type watchState struct {
	suspects []suspect
	// crashed is when the last evidence came.
	crashed time.Time
}
