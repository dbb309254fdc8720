package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// injectFault draws one fault or repair and applies it.
func injectFault(t *rapid.T, s *sim) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 17).Draw(t, "fault") {
	case 0:
		n.kill()
		s.announceInstances(time.Second)
	case 1:
		n.start()
		s.announceInstances(100 * time.Millisecond)
	case 2, 3:
		n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
	case 4:
		for i := range s.partition {
			s.partition[i] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 5, 6:
		s.endFaults()
	case 7:
		s.storeUp = false
	case 8:
		s.lostReplyRate = 0.5
		s.maxStoreDelay = 2 * time.Second
	case 9:
		s.messageLossRate = 0.3
	case 10:
		if h := s.holder(); h != nil {
			h.kill()
			s.announceInstances(time.Second)
		}
	case 11:
		if h := s.holder(); h != nil {
			s.release(h)
		}
	case 12:
		if h := s.holder(); h != nil {
			h.enqueue(func(now time.Time) { h.node.ProposeMirrors(now, simShard, []Instance{n.self.Instance}) })
		}
	case 13:
		n.leaving = true
		s.announceInstances(0)
	case 14:
		// An incorrect list: earlier incarnations, missing instances and incorrect
		// liveness.
		var incorrect []Peer
		for _, other := range s.nodes {
			member := other.self
			if rapid.Bool().Draw(t, "former") {
				member.Instance.Incarnation = "0"
			}
			if rapid.Bool().Draw(t, "listed") {
				incorrect = append(incorrect, Peer{Member: member, Live: rapid.Bool().Draw(t, "live")})
			}
		}
		n.enqueue(func(time.Time) { n.node.SetPeers(incorrect) })
	case 15:
		s.maxMessageDelay = time.Duration(rapid.IntRange(10, 300).Draw(t, "delay")) * time.Millisecond
	case 16, 17:
		domain := n.index % simDomains
		if h := s.holder(); h != nil && rapid.Bool().Draw(t, "domain of the holder") {
			domain = h.index % simDomains
		}
		cut := simCut{oneWay: rapid.Bool().Draw(t, "one way"), resets: rapid.Bool().Draw(t, "resets"), store: rapid.Bool().Draw(t, "store")}
		side := rapid.SampledFrom([]int{1, -1}).Draw(t, "side")
		seconds := rapid.SampledFrom([]int{3, 8, 16, 25}).Draw(t, "seconds")
		s.cutDomain(domain, side, cut, time.Duration(seconds)*time.Second)
	}
}

// Guards against two holders at the same moment of real time, tokens or mirror
// sets that go backwards, and a shard that stays without a holder after all
// faults end.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "nodes"), 0.01)
		s.advance(3 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			injectFault(t, s)
			s.advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "wait")) * time.Millisecond)
			if len(s.violations) > 0 {
				t.Fatal(s.violations[0])
			}
		}
		s.endFaults()
		for _, n := range s.nodes {
			if !n.alive || n.leaving {
				n.start()
			}
		}
		s.announceInstances(0)
		s.advance(60 * time.Second)
		if len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
		if s.holder() == nil {
			t.Fatalf("no holder 60 s after the end of all faults")
		}
	})
}

// makeUnavailable kills, pauses or isolates a node.
func makeUnavailable(t *rapid.T, s *sim, n *simNode) {
	switch rapid.IntRange(0, 2).Draw(t, "loss") {
	case 0:
		n.kill()
	case 1:
		n.pausedUntil = s.now.Add(time.Hour)
	case 2:
		s.partition[n.index] = 1 + n.index
	}
}

// Guards against a takeover that takes longer than 1 s although a majority of
// the witnesses is reachable, also with the store down and with clocks whose
// rates differ by 1%. Either two holders are lost in succession, or a holder
// and another witness at the same time.
func TestTakeoverWithinOneSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(5, 9).Draw(t, "nodes"), 0.01)
		s.advance(4 * time.Second)
		s.storeUp = rapid.Bool().Draw(t, "store")
		together := rapid.Bool().Draw(t, "together")
		for range 2 {
			s.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
			lost := s.holder()
			if lost == nil {
				t.Fatal("no holder before the loss")
			}
			makeUnavailable(t, s, lost)
			if w := s.nodeAt(rapid.SampledFrom(s.record.Witnesses).Draw(t, "other").Address); together && w != lost {
				makeUnavailable(t, s, w)
			}
			s.advance(time.Second)
			if now := s.holder(); now == nil || now == lost {
				t.Fatalf("no new holder 1 s after the loss of %v", lost.self.Instance)
			}
			if len(s.violations) > 0 {
				t.Fatal(s.violations[0])
			}
			if together {
				return
			}
		}
	})
}

// Guards against a shard that stays unserved after its first record is created.
func TestFirstHolder(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 12, 0)
	s.advance(3 * time.Second)
	is.True(s.holder() != nil)
	is.Equal(len(s.record.Witnesses), 5)
	is.Equal(s.holder().self, s.record.Witnesses[0])
	is.Equal(len(s.takeovers), 1)
}
