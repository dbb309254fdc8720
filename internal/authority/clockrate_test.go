package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two holders when the clock of a cut-off holder is 1% slow. The
// preferred holder campaigns without rank delay, so only the drift margin keeps
// the two tenures apart.
func TestSlowClockOfHolder(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 5, 0)
	s.maxDelay = 0
	s.advance(3 * time.Second)
	preferred := s.holder()
	slow := s.at(s.record.Witnesses[1].Address)
	slow.rate = 0.99
	preferred.enqueue(func(now time.Time) { preferred.node.Release(now, simShard) })
	s.advance(3 * time.Second)
	is.Equal(s.holder(), slow)
	s.group[slow.index] = 1
	s.advance(time.Second)
	is.Equal(s.holder(), preferred)
	is.Equal(s.faults, nil)
}
