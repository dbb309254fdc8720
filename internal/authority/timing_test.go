package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two holders when the clock of an isolated holder is 1% slow.
// The preferred holder campaigns without rank delay, so only the drift margin
// separates the two tenures.
func TestSlowClockOfHolder(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 5, 0)
	s.maxMessageDelay = 0
	s.advance(3 * time.Second)
	preferred := s.holder()
	slow := s.nodeAt(s.record.Witnesses[1].Address)
	slow.clockRate = 0.99
	s.release(preferred)
	s.advance(3 * time.Second)
	is.Equal(s.holder(), slow)
	s.partition[slow.index] = 1
	s.advance(time.Second)
	is.Equal(s.holder(), preferred)
	is.Equal(s.violations, nil)
}

// Guards against accepting durations with which a holder would lose its shard
// at once.
func TestTimingIsValidated(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultTiming().Validate())
	for _, change := range []func(*Timing){
		func(t *Timing) { t.RankDelay = 0 },
		func(t *Timing) { t.RenewInterval = 300 * time.Millisecond },
		func(t *Timing) { t.RecordReadRetryMax = time.Millisecond },
	} {
		timing := DefaultTiming()
		change(&timing)
		is.True(timing.Validate() != nil)
	}
}
