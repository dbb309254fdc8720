package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a shard that stays unserved when its holder is lost and the
// store went down after a change of witnesses, before the new witnesses read
// the record.
func TestNewWitnessesNeedNoStore(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(seed, 10, 0.01)
		s.advance(3 * time.Second)
		holder := s.holder()
		for _, m := range s.record.Witnesses {
			s.nodeAt(m.Address).leaving = m != holder.self
		}
		s.announceInstances(0)
		for s.record.Epoch < 2 {
			s.advance(100 * time.Microsecond)
		}
		s.storeUp = false
		s.advance(50 * time.Millisecond)
		holder.kill()
		s.advance(time.Second)
		is.True(s.holder() != nil)
		is.True(s.holder() != holder)
		is.Equal(s.violations, nil)
	}
}
