package events

import (
	"sync/atomic"
	"time"
)

// countBits hold the lines of a second, the bits above them the second itself.
const countBits = 24

// rateLimiter bounds the lines of one event in each second. It is safe for
// concurrent use and never waits.
type rateLimiter struct {
	state atomic.Uint64
}

// allow reports whether one more line may be written at now.
func (l *rateLimiter) allow(now time.Time, maxPerSecond uint64) bool {
	second := uint64(now.Unix()) << countBits
	for {
		old := l.state.Load()
		next := second + 1
		if old>>countBits == second>>countBits {
			if old-second >= maxPerSecond {
				return false
			}
			next = old + 1
		}
		if l.state.CompareAndSwap(old, next) {
			return true
		}
	}
}
