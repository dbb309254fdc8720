// Package boottime measures time on the clock that goes on while the machine is suspended.
// The steady clock of package time stands still meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds since the machine was started. The zero value stands
// for none.
type Instant int64

// Now returns the present time, or none if the machine has no such clock.
func Now() Instant {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return Instant(now.Nano())
}

// Add returns the time that is d later. It returns none for none.
func (i Instant) Add(d time.Duration) Instant {
	if i == 0 {
		return 0
	}
	return i + Instant(d)
}

// Passed reports whether it is this time or later. None does not pass.
func (i Instant) Passed() bool {
	return i != 0 && Now() >= i
}
