package placing

import (
	"time"
)

// loadClass is a kind of callers: their latency target and how long they wait.
type loadClass struct{ target, patience time.Duration }

// loadClasses are the bounds of the deployments: targets of 600 ms to 3 s, and callers
// that wait 1.5 to 12 s.
var loadClasses = []loadClass{{600 * time.Millisecond, 1500 * time.Millisecond}, {time.Second, 4 * time.Second}, {3 * time.Second, 12 * time.Second}}
