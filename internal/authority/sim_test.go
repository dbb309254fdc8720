package authority

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// simShard is the shard for which the simulated nodes compete.
var simShard = key.ShardID{Service: "bosho", Index: 3}

// normalMessageDelay is the maximum delay of a message without faults.
const normalMessageDelay = 4 * time.Millisecond

// simDomains is the number of failure domains.
const simDomains = 3

// simEvent is an action scheduled at a moment of real time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim runs nodes in virtual time, with a simulated network and one shard
// record.
type sim struct {
	now    time.Time
	seq    int
	queue  simQueue
	random *rand.Rand
	nodes  []*simNode

	record        WitnessConfig
	storeUp       bool
	lostReplyRate float64
	// maxStoreDelay is the maximum delay of a store call or its response.
	maxStoreDelay   time.Duration
	messageLossRate float64
	maxMessageDelay time.Duration
	// partition assigns each node to a network partition. Messages are
	// delivered within a partition only.
	partition []int
	// cut changes how messages cross the borders of the partitions.
	cut       simCut
	cutEndsAt time.Time

	violations []string
	// takeovers contains the time of each change of the holder.
	takeovers     []time.Time
	highestToken  Token
	latestMirrors MirrorSet
	// lastHolder is the process that published a tenure last, and grantsEnd the latest end
	// of its tenures, in real time. Its grants may be in force until then, even if it has
	// terminated or has published an earlier end since.
	lastHolder Instance
	grantsEnd  time.Time
}

func newSim(seed uint64, nodes int, clockError float64) *sim {
	s := &sim{
		now:             time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:          rand.New(rand.NewPCG(seed, 1)),
		storeUp:         true,
		maxMessageDelay: normalMessageDelay,
		partition:       make([]int, nodes),
	}
	for i := range nodes {
		// The rates of two clocks differ by at most clockError.
		rate := 1 + clockError*(s.random.Float64()-0.5)
		s.nodes = append(s.nodes, &simNode{sim: s, index: i, clockRate: rate, clockOrigin: s.now})
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.announceInstances(0)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// advance runs all events of the next d.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}

func (s *sim) messageDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(s.maxMessageDelay) + 1))
}

func (s *sim) storeDelay() time.Duration {
	return s.messageDelay() + time.Duration(s.random.Int64N(int64(s.maxStoreDelay)+1))
}

// endFaults ends all faults of the network and the store.
func (s *sim) endFaults() {
	clear(s.partition)
	s.cut = simCut{}
	s.messageLossRate, s.lostReplyRate, s.maxStoreDelay, s.storeUp = 0, 0, 0, true
	s.maxMessageDelay = normalMessageDelay
}

// delivers decides whether a message between two nodes is delivered.
func (s *sim) delivers(a, b int) bool {
	return s.cut.passes(s.partition[a], s.partition[b]) && s.random.Float64() >= s.messageLossRate
}

// cutDomain cuts off a failure domain from the others, and from the store, until d has passed.
func (s *sim) cutDomain(domain, side int, cut simCut, d time.Duration) {
	clear(s.partition)
	for i := range s.nodes {
		if i%simDomains == domain {
			s.partition[i] = side
		}
	}
	s.cut = cut
	s.cutEndsAt = s.now.Add(d)
	s.after(d, func() {
		if s.cutEndsAt.Equal(s.now) {
			clear(s.partition)
			s.cut = simCut{}
		}
	})
}

// reachesStore reports whether calls of a node arrive at the store, and answered whether its
// answers arrive at the node.
func (s *sim) reachesStore(n *simNode) (called, answered bool) {
	if !s.cut.store {
		return true, true
	}
	side := s.partition[n.index]
	return s.cut.passes(side, 0), s.cut.passes(0, side)
}

// announceInstances updates the list of running instances on all nodes after
// lag.
func (s *sim) announceInstances(lag time.Duration) {
	s.after(lag, func() {
		for _, n := range s.nodes {
			n.enqueue(n.readPeers)
		}
	})
}

// holder returns the node with a currently valid tenure, or nil.
func (s *sim) holder() *simNode {
	for _, n := range s.nodes {
		if n.alive && n.tenure != nil && s.now.Before(n.globalTime(n.tenure.End)) {
			return n
		}
	}
	return nil
}

func (s *sim) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// checkTenure checks the invariants whenever a tenure is published: no other
// process has a valid tenure, and fencing tokens and mirror sets never go
// backwards.
func (s *sim) checkTenure(n *simNode, t *Tenure) {
	newHolder := t != nil && n.tenure == nil
	if t != nil && !newHolder && t.End.Before(n.tenure.End) {
		s.reportViolation("the end of the tenure of %v moved back by %v at %v", n.self.Instance, n.tenure.End.Sub(t.End), s.now)
	}
	n.tenure = t
	if t == nil || !s.now.Before(n.globalTime(t.End)) {
		return
	}
	s.checkGrants(n, n.globalTime(t.End))
	for _, other := range s.nodes {
		if other != n && other.alive && other.tenure != nil && s.now.Before(other.globalTime(other.tenure.End)) {
			s.reportViolation("two holders at %v: %v %v and %v %v", s.now, n.self, t.Token, other.self, other.tenure.Token)
		}
	}
	if t.Token.Less(s.highestToken) || newHolder && t.Token == s.highestToken {
		s.reportViolation("token changed from %v to %v at %v", s.highestToken, t.Token, s.now)
	}
	if t.Mirrors.Generation < s.latestMirrors.Generation {
		s.reportViolation("mirror set changed from %v to %v at %v", s.latestMirrors, t.Mirrors, s.now)
	}
	if t.Mirrors.Generation == s.latestMirrors.Generation && !slices.Equal(t.Mirrors.Members, s.latestMirrors.Members) {
		s.reportViolation("two mirror sets of one generation, %v and %v at %v", s.latestMirrors, t.Mirrors, s.now)
	}
	s.highestToken = t.Token
	if newHolder {
		s.takeovers = append(s.takeovers, s.now)
		return
	}
	if len(t.Mirrors.Members) > 0 {
		// Only sets with members are proposed and acknowledged. An empty set is
		// the initial set of a new holder that could not learn the previous
		// one.
		s.latestMirrors = t.Mirrors
	}
}

// checkGrants checks that no grant of another process can be in force when n publishes a
// tenure with the given end.
func (s *sim) checkGrants(n *simNode, end time.Time) {
	if n.self.Instance != s.lastHolder {
		if s.now.Before(s.grantsEnd) {
			s.reportViolation("grants of %v may be in force until %v, but %v holds the shard at %v", s.lastHolder, s.grantsEnd, n.self.Instance, s.now)
		}
		s.grantsEnd = time.Time{}
	}
	s.lastHolder, s.grantsEnd = n.self.Instance, latestTime(s.grantsEnd, end)
}

// release hands the shard over. The holder has revoked its grants.
func (s *sim) release(h *simNode) {
	h.enqueue(func(now time.Time) {
		if h.tenure != nil && h.node.Release(now, simShard, h.tenure.Since) {
			s.grantsEnd = time.Time{}
		}
	})
}
