package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new witness set that elects a holder while a majority of the
// previous set still promises to the old holder. The members of the old set are
// leaving but still answer, and a partition separates them and their holder
// from the new set.
func TestChangeNeedsBothSets(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 9, 0.01)
	s.advance(3 * time.Second)
	holder := s.holder()
	for _, m := range s.record.Witnesses {
		w := s.nodeAt(m.Address)
		s.partition[w.index] = 1
		w.leaving = w != holder
	}
	s.lostReplyRate = 1
	s.announceInstances(0)
	s.advance(time.Minute)
	is.Equal(s.violations, nil)
	is.True(s.record.Epoch > 1)
	is.Equal(s.holder(), holder)
	clear(s.partition)
	s.lostReplyRate = 0
	s.advance(15 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(len(s.record.Previous), 0)
	is.Equal(len(s.takeovers), 1)
}
