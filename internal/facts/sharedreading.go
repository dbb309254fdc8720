package facts

import "time"

// sharedReading is a reading of the store for which requests wait.
type sharedReading struct {
	beganAt time.Time
	// done is closed when the reading has ended. The fields below are set before that.
	done chan struct{}
	err  error
	// usableUntil is when the next request begins another reading, and usableAloneUntil when it
	// does so at an instance that hears of the store from nobody else.
	usableUntil, usableAloneUntil time.Time
}

// isOver reports whether the next request begins another reading.
func (r *sharedReading) isOver(now time.Time, alone bool) bool {
	select {
	case <-r.done:
		return !now.Before(r.usableUntil) || alone && !now.Before(r.usableAloneUntil)
	default:
		return false
	}
}
