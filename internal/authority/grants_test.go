package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// simWithSlowWitnessChange returns a simulation at the moment at which the holder, so far
// the only witness, has continued under a set of three witnesses. Messages take up to
// 200 ms, longer than a renewal interval, so the new witnesses answer later than the old.
func simWithSlowWitnessChange(is *is.I, seed uint64) *sim {
	s := newSim(seed, 3, 0)
	s.nodes[1].kill()
	s.nodes[2].kill()
	s.announceInstances(0)
	s.advance(3 * time.Second)
	is.Equal(len(s.record.Witnesses), 1)
	first := s.highestToken
	s.maxMessageDelay = 200 * time.Millisecond
	s.nodes[1].start()
	s.nodes[2].start()
	s.announceInstances(0)
	for range 30_000 {
		if s.highestToken != first {
			break
		}
		s.advance(time.Millisecond)
	}
	is.Equal(s.highestToken.Epoch, first.Epoch+1)
	return s
}

// Guards against a tenure whose end moves back when the holder continues under another
// witness set: grants that were issued until the end published before would outlive it.
func TestTenureEndNeverMovesBack(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := simWithSlowWitnessChange(is, seed)
		s.advance(5 * time.Second)
		is.Equal(s.violations, nil)
	}
}

// Guards against a holder that loses its tenure just after a change of witnesses and
// releases its promises while its grants are in force.
func TestTenureLostAfterWitnessChange(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		s := simWithSlowWitnessChange(is, seed)
		s.messageLossRate = 1
		for range 1000 {
			if s.holder() == nil {
				break
			}
			s.advance(time.Millisecond)
		}
		s.messageLossRate, s.maxMessageDelay = 0, 2*time.Millisecond
		s.advance(2 * time.Second)
		is.True(s.holder() != nil)
		is.Equal(s.violations, nil)
	}
}

// Guards against an instance that releases its promises at once when it is retired or the
// shard leaves its settings: its grants are in force until the end of its tenure.
func TestGrantsEndBeforeTakeover(t *testing.T) {
	for name, lose := range map[string]func(n *Node, now time.Time){
		"retired":               func(n *Node, now time.Time) { n.SetRetired(now, []string{n.self.Instance.Name}) },
		"removed from settings": func(n *Node, now time.Time) { n.SetShards(now, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(3, 5, 0.01)
			s.advance(3 * time.Second)
			lost := s.holder()
			lost.enqueue(func(now time.Time) { lose(lost.node, now) })
			s.advance(time.Second)
			is.True(s.holder() != nil && s.holder() != lost)
			is.Equal(s.violations, nil)
		})
	}
}

// Guards against a hand-over that releases a tenure which began after the grants were
// revoked: its holder has issued grants again.
func TestReleaseLeavesLaterTenure(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 5, 0)
	s.advance(3 * time.Second)
	holder := s.holder()
	held := holder.tenure
	is.True(!holder.node.Release(holder.localTime(s.now), simShard, held.Since.Add(-time.Second)))
	s.advance(10 * time.Second)
	is.Equal(len(s.takeovers), 1)
	is.True(holder.node.Release(holder.localTime(s.now), simShard, held.Since))
}
