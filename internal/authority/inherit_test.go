package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new holder that loses the mirror set, and with it all
// request records: a proof of termination sealed a previous set although its
// other members answered. Request records were lost this way in a planned
// hand-over.
func TestMirrorsOutliveTheLossOfAWitness(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		s := newSim(seed, 3, 0.01)
		s.advance(3 * time.Second)
		holder := s.holder()
		mirrors := []Instance{}
		for _, n := range s.nodes {
			if n != holder {
				mirrors = append(mirrors, n.self.Instance)
			}
		}
		holder.enqueue(func(now time.Time) { holder.node.ProposeMirrors(now, simShard, mirrors) })
		s.advance(time.Second)
		s.nodes[(holder.index+1)%3].kill()
		s.announceInstances(time.Second)
		for s.record.Epoch < 2 {
			s.advance(100 * time.Microsecond)
		}
		s.release(holder)
		s.advance(3 * time.Second)
		next := s.holder()
		is.True(next != nil)
		is.Equal(s.violations, nil)
		is.True(len(next.tenure.Mirrors.Members) > 0)
	}
}
