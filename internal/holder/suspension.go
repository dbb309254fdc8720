package holder

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspension notices that the machine was suspended. The steady clock does not count that
// time, so that a lease or a follower would seem to be confirmed recently. It is used by one
// goroutine at a time.
type suspension struct {
	// suspendedFor returns how long the machine has been suspended since its start, and
	// false if that is unknown. It is suspendedSinceBoot, but in tests.
	suspendedFor func() (time.Duration, bool)
	known        bool
	seen         time.Duration
}

// noticed reports whether the machine was suspended since the last call. It is not by
// changes below maxTickGap, during which no successor is elected.
func (s *suspension) noticed() bool {
	if s.suspendedFor == nil {
		return false
	}
	total, ok := s.suspendedFor()
	if !ok {
		return false
	}
	noticed := s.known && total-s.seen > maxTickGap
	if noticed || !s.known {
		s.seen = total
	}
	s.known = true
	return noticed
}

// suspendedSinceBoot returns by how much the clock that counts suspensions is ahead of the
// steady clock.
func suspendedSinceBoot() (time.Duration, bool) {
	var counting, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil {
		return 0, false
	}
	return time.Duration(counting.Nano() - steady.Nano()), true
}
