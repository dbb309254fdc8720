package events

import (
	"sync/atomic"
	"time"
)

// countBits hold the lines of a second, the bits above them the second itself.
const countBits = 24

// allowance bounds the lines of one event in each second. It is safe for
// concurrent use and never waits.
type allowance struct {
	state atomic.Uint64
}

// take reports whether one more line may be written at now.
func (a *allowance) take(now time.Time, perSecond uint64) bool {
	second := uint64(now.Unix()) << countBits
	for {
		old := a.state.Load()
		next := second + 1
		if old>>countBits == second>>countBits {
			if old-second >= perSecond {
				return false
			}
			next = old + 1
		}
		if a.state.CompareAndSwap(old, next) {
			return true
		}
	}
}
