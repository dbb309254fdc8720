package events

import (
	"sync/atomic"
	"time"
)

// countBits is the number of low bits of the state that count the lines of the current
// second. The bits above hold the second itself.
const countBits = 24

// rateLimiter limits the lines of one event per second. It is safe for concurrent use
// and never blocks.
type rateLimiter struct {
	state atomic.Uint64
}

// allow reports whether one more line may be written at now, and counts it if so.
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
