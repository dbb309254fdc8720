package authority

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simNode is one process of a simulation, including its restarts.
type simNode struct {
	sim   *sim
	index int
	// clockRate is the speed of the local clock, clockOrigin the time at which
	// it agrees with the global clock.
	clockRate   float64
	clockOrigin time.Time

	node            *Node
	self            Member
	incarnation     int
	alive           bool
	leaving         bool
	pausedUntil     time.Time
	tenure          *Tenure
	timerGeneration int
}

func (n *simNode) localTime(t time.Time) time.Time {
	return n.clockOrigin.Add(time.Duration(float64(t.Sub(n.clockOrigin)) * n.clockRate))
}

func (n *simNode) globalTime(t time.Time) time.Time {
	return n.clockOrigin.Add(time.Duration(float64(t.Sub(n.clockOrigin)) / n.clockRate))
}

// start starts the process with a new incarnation.
func (n *simNode) start() {
	n.incarnation++
	n.restart()
}

// restart starts the process without its state. Restarting with an unchanged
// incarnation is the fault that incarnations guard against.
func (n *simNode) restart() {
	name := fmt.Sprintf("i%d", n.index)
	n.self = Member{
		Instance: Instance{Name: name, Incarnation: fmt.Sprint(n.incarnation)},
		Address:  name,
		Domain:   fmt.Sprintf("d%d", n.index%simDomains),
	}
	n.alive, n.leaving, n.pausedUntil, n.tenure = true, false, time.Time{}, nil
	random := rand.New(rand.NewPCG(n.sim.random.Uint64(), 2))
	n.node = NewNode(n.localTime(n.sim.now), n.self, DefaultTiming(), random)
	n.enqueue(func(now time.Time) {
		n.readPeers(now)
		n.node.SetShards(now, []ShardSpec{{ID: simShard, Domains: []string{"d0", "d1", "d2"}}})
	})
}

func (n *simNode) kill() {
	n.alive = false
	n.tenure = nil
}

// enqueue runs an input of this incarnation as soon as the process is not
// paused.
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
	now := n.localTime(n.sim.now)
	input(now)
	n.node.Tick(now)
	n.execute(n.node.TakeEffects())
	n.timerGeneration++
	wake := n.timerGeneration
	pause := n.globalTime(n.node.NextTick(now)).Sub(n.sim.now) + time.Microsecond
	n.sim.after(pause, func() {
		if wake == n.timerGeneration {
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

func (n *simNode) execute(e Effects) {
	for _, p := range e.TenureChanges {
		n.sim.checkTenure(n, p.Tenure)
	}
	for _, outgoing := range e.Requests {
		n.sendRequest(outgoing)
	}
	for range e.RecordReads {
		n.readRecord()
	}
	for _, p := range e.Proposals {
		n.commitProposal(p)
	}
	for _, m := range e.Probes {
		n.probeMember(m)
	}
}

func (n *simNode) sendRequest(outgoing OutgoingRequest) {
	to := n.sim.nodeAt(outgoing.To.Address)
	n.sim.after(n.sim.messageDelay(), func() {
		if !n.sim.delivers(n.index, to.index) {
			if n.sim.cut.resets && n.sim.partition[n.index] != n.sim.partition[to.index] {
				n.enqueue(func(now time.Time) { n.node.PromiseFailed(now, outgoing, true) })
			}
			return
		}
		if !to.alive {
			n.enqueue(func(now time.Time) { n.node.PromiseFailed(now, outgoing, true) })
			return
		}
		to.enqueue(func(now time.Time) {
			reply := to.node.HandlePromise(now, outgoing.Request)
			n.sim.after(n.sim.messageDelay(), func() {
				if n.sim.delivers(to.index, n.index) {
					n.enqueue(func(now time.Time) { n.node.PromiseAnswered(now, outgoing, reply) })
				}
			})
		})
	})
}

func (n *simNode) probeMember(m Member) {
	to := n.sim.nodeAt(m.Address)
	n.sim.after(n.sim.messageDelay(), func() {
		if !n.sim.delivers(n.index, to.index) || n.sim.now.Before(to.pausedUntil) || !to.alive {
			return
		}
		found := to.self.Instance
		n.enqueue(func(now time.Time) { n.node.ProbeAnswered(now, m, found) })
	})
}

// readRecord reads the record. The response takes as long again as the call.
func (n *simNode) readRecord() {
	node := n.node
	n.sim.after(n.sim.storeDelay(), func() {
		called, answered := n.sim.reachesStore(n)
		record, up := n.sim.record, n.sim.storeUp && called && answered
		n.replyLater(node, func(now time.Time) {
			if !up {
				node.RecordReadFailed(now, simShard)
				return
			}
			node.RecordRead(now, simShard, record, record.Epoch > 0)
		})
	})
}

// commitProposal writes a configuration by compare-and-swap. The write takes
// effect even if the process has terminated or the response is lost.
func (n *simNode) commitProposal(p Proposal) {
	node := n.node
	n.sim.after(n.sim.storeDelay(), func() {
		called, answered := n.sim.reachesStore(n)
		up := n.sim.storeUp && called
		if up && n.sim.record.Equal(p.Base) {
			n.sim.record = p.Next
		}
		record := n.sim.record
		lost := n.sim.random.Float64() < n.sim.lostReplyRate
		n.replyLater(node, func(now time.Time) {
			if !up || !answered || lost {
				node.ProposalFailed(now, p)
				return
			}
			node.ProposalCommitted(now, p, record)
		})
	})
}

// replyLater delivers a response of the store, if the process that asked still
// runs.
func (n *simNode) replyLater(asked *Node, input func(now time.Time)) {
	n.sim.after(n.sim.storeDelay(), func() {
		if n.node == asked {
			n.enqueue(input)
		}
	})
}

func (s *sim) nodeAt(address string) *simNode {
	for _, n := range s.nodes {
		if n.self.Address == address {
			return n
		}
	}
	panic("no node at " + address)
}
