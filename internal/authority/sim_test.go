package authority

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// simShard is the shard that the simulated nodes compete for.
var simShard = key.ShardID{Service: "bosho", Index: 3}

// simEvent is something that happens at one moment of real time.
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

// sim runs nodes in logical time over a small message network and one record.
type sim struct {
	now    time.Time
	seq    int
	queue  simQueue
	random *rand.Rand
	nodes  []*simNode

	record    WitnessConfig
	storeUp   bool
	lostWrite float64
	// slowStore is the longest delay of a call or an answer of the store.
	slowStore time.Duration
	dropped   float64
	maxDelay  time.Duration
	// group of each node; messages pass within a group only.
	group []int

	faults []string
	// takeovers holds the time of each change of the holder.
	takeovers []time.Time
	token     Token
	mirrors   MirrorSet
}

func newSim(seed uint64, nodes int, clockError float64) *sim {
	s := &sim{
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:   rand.New(rand.NewPCG(seed, 1)),
		storeUp:  true,
		maxDelay: 4 * time.Millisecond,
		group:    make([]int, nodes),
	}
	for i := range nodes {
		// Two clocks differ by at most clockError.
		rate := 1 + clockError*(s.random.Float64()-0.5)
		s.nodes = append(s.nodes, &simNode{sim: s, index: i, rate: rate, epoch: s.now})
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.announce(0)
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

func (s *sim) delay() time.Duration {
	return time.Duration(s.random.Int64N(int64(s.maxDelay) + 1))
}

func (s *sim) storeDelay() time.Duration {
	return s.delay() + time.Duration(s.random.Int64N(int64(s.slowStore)+1))
}

// repair ends all faults of the network and the store.
func (s *sim) repair() {
	clear(s.group)
	s.dropped, s.lostWrite, s.slowStore, s.storeUp = 0, 0, 0, true
}

// passes decides whether a message between two nodes gets through.
func (s *sim) passes(a, b int) bool {
	return s.group[a] == s.group[b] && s.random.Float64() >= s.dropped
}

// announce tells all nodes, after lag, which instances run.
func (s *sim) announce(lag time.Duration) {
	s.after(lag, func() {
		for _, n := range s.nodes {
			n.enqueue(n.readPeers)
		}
	})
}

// holder returns the node whose tenure is valid now, or nil.
func (s *sim) holder() *simNode {
	for _, n := range s.nodes {
		if n.alive && n.tenure != nil && s.now.Before(n.global(n.tenure.End)) {
			return n
		}
	}
	return nil
}

func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// published checks the invariants at each publication of a tenure: no other
// process may have a valid one, and fencing tokens and mirror sets never go back.
func (s *sim) published(n *simNode, t *Tenure) {
	taken := t != nil && n.tenure == nil
	n.tenure = t
	if t == nil || !s.now.Before(n.global(t.End)) {
		return
	}
	for _, other := range s.nodes {
		if other != n && other.alive && other.tenure != nil && s.now.Before(other.global(other.tenure.End)) {
			s.fault("two holders at %v: %v %v and %v %v", s.now, n.self, t.Token, other.self, other.tenure.Token)
		}
	}
	if t.Token.Less(s.token) || taken && t.Token == s.token {
		s.fault("token went from %v to %v at %v", s.token, t.Token, s.now)
	}
	if t.Mirrors.Generation < s.mirrors.Generation {
		s.fault("mirror set went from %v to %v at %v", s.mirrors, t.Mirrors, s.now)
	}
	s.token = t.Token
	if taken {
		s.takeovers = append(s.takeovers, s.now)
		return
	}
	if len(t.Mirrors.Members) > 0 {
		// Only sets with members are proposed and acknowledged; a set that a new
		// holder starts with because it could not learn one has none.
		s.mirrors = t.Mirrors
	}
}
