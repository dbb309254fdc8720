package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a store that returns from an outage with an older record or
// none, and against the loss of a tenure because of it.
func TestOlderRecordIsReplaced(t *testing.T) {
	for _, name := range []string{"older", "none"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(3, 9, 0.01)
			s.advance(3 * time.Second)
			older := s.record
			s.nodeAt(older.Witnesses[4].Address).leaving = true
			s.announceInstances(0)
			s.advance(5 * time.Second)
			newer := s.record
			is.True(newer.Epoch > older.Epoch)
			is.Equal(len(newer.Previous), 0)
			s.record = older
			if name == "none" {
				s.record = WitnessConfig{}
			}
			s.advance(45 * time.Second)
			is.True(s.record.Equal(newer))
			is.Equal(s.violations, nil)
			is.Equal(len(s.takeovers), 1)
		})
	}
}

// Guards against a retired instance that makes promises again after its name is
// removed from the list, although others have treated it as terminated.
func TestRetirementIsFinal(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 5, 0)
	s.advance(3 * time.Second)
	retired := s.holder()
	for _, names := range [][]string{{retired.self.Instance.Name}, nil} {
		for _, n := range s.nodes {
			n.enqueue(func(now time.Time) { n.node.SetRetired(now, names) })
		}
		s.advance(time.Second)
		is.True(s.holder() != retired)
	}
	promiseRequest := PromiseRequest{Candidate: s.holder().self.Instance, To: retired.self.Instance, Claims: []ShardClaim{{
		Shard: simShard, Token: Token{Epoch: 99, Ballot: 1},
	}}}
	is.Equal(len(retired.node.HandlePromise(retired.localTime(s.now), promiseRequest).Replies), 0)
	s.advance(10 * time.Second)
	is.True(s.record.Rank(retired.self.Instance) < 0)
	is.Equal(s.violations, nil)
}
