package authority

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simNode is one process of a simulation, over its restarts.
type simNode struct {
	sim   *sim
	index int
	// rate is the speed of the local clock, epoch where it starts.
	rate  float64
	epoch time.Time

	node        *Node
	self        Member
	incarnation int
	alive       bool
	leaving     bool
	pausedUntil time.Time
	tenure      *Tenure
	wake        int
}

func (n *simNode) local(t time.Time) time.Time {
	return n.epoch.Add(time.Duration(float64(t.Sub(n.epoch)) * n.rate))
}

func (n *simNode) global(t time.Time) time.Time {
	return n.epoch.Add(time.Duration(float64(t.Sub(n.epoch)) / n.rate))
}

// start begins a run with a new incarnation.
func (n *simNode) start() {
	n.incarnation++
	n.restart()
}

// restart begins a run without memory. Unless start raised the incarnation, this
// is the fault that incarnations guard against.
func (n *simNode) restart() {
	name := fmt.Sprintf("i%d", n.index)
	n.self = Member{
		Instance: Instance{Name: name, Incarnation: fmt.Sprint(n.incarnation)},
		Address:  name,
		Domain:   fmt.Sprintf("d%d", n.index%3),
	}
	n.alive, n.leaving, n.pausedUntil, n.tenure = true, false, time.Time{}, nil
	random := rand.New(rand.NewPCG(n.sim.random.Uint64(), 2))
	n.node = NewNode(n.local(n.sim.now), n.self, DefaultTiming(), random)
	n.enqueue(func(now time.Time) {
		n.readPeers(now)
		n.node.SetShards(now, []ShardSpec{{ID: simShard, Domains: []string{"d0", "d1", "d2"}}})
	})
}

func (n *simNode) kill() {
	n.alive = false
	n.tenure = nil
}

// enqueue runs an input of this incarnation as soon as the process is not paused.
func (n *simNode) enqueue(input func(now time.Time)) {
	node := n.node
	var run func()
	run = func() {
		switch {
		case !n.alive || n.node != node:
		case n.sim.now.Before(n.pausedUntil):
			n.sim.after(n.pausedUntil.Sub(n.sim.now), run)
		default:
			n.step(input)
		}
	}
	n.sim.after(0, run)
}

func (n *simNode) step(input func(now time.Time)) {
	now := n.local(n.sim.now)
	input(now)
	n.node.Tick(now)
	n.carryOut(n.node.TakeEffects())
	n.wake++
	wake := n.wake
	pause := n.global(n.node.NextTick(now)).Sub(n.sim.now) + time.Microsecond
	n.sim.after(pause, func() {
		if wake == n.wake {
			n.enqueue(func(time.Time) {})
		}
	})
}

func (n *simNode) readPeers(now time.Time) {
	var peers []Peer
	for _, other := range n.sim.nodes {
		if other.alive {
			peers = append(peers, Peer{Member: other.self, Live: !other.leaving, Leaving: other.leaving, LiveChangedAt: now})
		}
	}
	for i, p := range peers {
		if known, ok := n.node.peer(p.Member.Instance); ok && known.Live == p.Live {
			peers[i].LiveChangedAt = known.LiveChangedAt
		}
	}
	n.node.SetPeers(peers)
}

func (n *simNode) carryOut(e Effects) {
	for _, p := range e.TenureChanges {
		n.sim.published(n, p.Tenure)
	}
	for _, send := range e.Requests {
		n.send(send)
	}
	for range e.RecordReads {
		n.load()
	}
	for _, p := range e.Proposals {
		n.commit(p)
	}
	for _, m := range e.Probes {
		n.probe(m)
	}
}

func (n *simNode) send(send OutgoingRequest) {
	to := n.sim.at(send.To.Address)
	n.sim.after(n.sim.delay(), func() {
		if !n.sim.passes(n.index, to.index) {
			return
		}
		if !to.alive {
			n.enqueue(func(now time.Time) { n.node.PromiseFailed(now, send, true) })
			return
		}
		to.enqueue(func(now time.Time) {
			reply := to.node.HandlePromise(now, send.Request)
			n.sim.after(n.sim.delay(), func() {
				if n.sim.passes(to.index, n.index) {
					n.enqueue(func(now time.Time) { n.node.PromiseAnswered(now, send, reply) })
				}
			})
		})
	})
}

func (n *simNode) probe(m Member) {
	to := n.sim.at(m.Address)
	n.sim.after(n.sim.delay(), func() {
		if !n.sim.passes(n.index, to.index) || n.sim.now.Before(to.pausedUntil) {
			return
		}
		found, refused := to.self.Instance, !to.alive
		n.enqueue(func(now time.Time) { n.node.ProbeAnswered(now, m, found, refused) })
	})
}

// load reads the record; the answer takes as long again as the call.
func (n *simNode) load() {
	node := n.node
	n.sim.after(n.sim.storeDelay(), func() {
		record, up := n.sim.record, n.sim.storeUp
		n.reply(node, func(now time.Time) {
			if !up {
				node.RecordReadFailed(now, simShard)
				return
			}
			node.RecordRead(now, simShard, record, record.Epoch > 0)
		})
	})
}

// commit writes a configuration by compare-and-swap, also when the process has
// ended or its answer is lost.
func (n *simNode) commit(p Proposal) {
	node := n.node
	n.sim.after(n.sim.storeDelay(), func() {
		up := n.sim.storeUp
		if up && n.sim.record.Equal(p.Base) {
			n.sim.record = p.Next
		}
		record := n.sim.record
		lost := n.sim.random.Float64() < n.sim.lostWrite
		n.reply(node, func(now time.Time) {
			if !up || lost {
				node.ProposalFailed(now, p)
				return
			}
			node.ProposalCommitted(now, p, record)
		})
	})
}

// reply hands an answer of the store to the run that asked.
func (n *simNode) reply(asked *Node, input func(now time.Time)) {
	n.sim.after(n.sim.storeDelay(), func() {
		if n.node == asked {
			n.enqueue(input)
		}
	})
}

func (s *sim) at(address string) *simNode {
	for _, n := range s.nodes {
		if n.self.Address == address {
			return n
		}
	}
	panic("no node at " + address)
}
