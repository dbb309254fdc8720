package authority

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Node decides for one process: it is a witness, a candidate and a holder of
// shards. It is pure: its inputs are calls with the time, its outputs are
// Effects. One goroutine owns it. After any input the owner calls Tick, carries
// out TakeEffects and calls Tick again no later than Wake.
type Node struct {
	self      Member
	timing    Timing
	rng       *rand.Rand
	witness   *Witness
	proofs    *TerminationProofs
	startedAt time.Time

	shards    map[key.ShardID]*shardState
	shardList []*shardState
	// dirty holds the shards that an input concerned since the last Tick, due
	// all shards by the time at which they need one without input.
	dirty     []*shardState
	deadlines deadlineQueue
	peers     []Peer
	peerIndex map[Instance]int
	// rankedMembers holds the members for which the ranks were computed.
	rankedMembers []Member
	leaving       bool
	// retired is final: others may already count this incarnation as gone, also
	// when the operators take its name off the list again.
	retired bool
	// heldShards counts the shards that are held.
	heldShards int

	nextRenewalAt time.Time
	lastProbeAt   map[Instance]time.Time
	outbox        map[Instance]*OutgoingRequest
	outboxOrder   []Instance
	effects       Effects
}

// NewNode returns a node that holds nothing. self must carry a new incarnation.
func NewNode(now time.Time, self Member, timing Timing, random *rand.Rand) *Node {
	return &Node{
		self:          self,
		timing:        timing,
		rng:           random,
		witness:       NewWitness(self.Instance, timing.PromiseTTL),
		proofs:        NewTerminationProofs(timing.ExpiredAfter()),
		startedAt:     now,
		shards:        map[key.ShardID]*shardState{},
		lastProbeAt:   map[Instance]time.Time{},
		outbox:        map[Instance]*OutgoingRequest{},
		nextRenewalAt: now.Add(timing.RenewInterval),
	}
}

// SetShards replaces the list of shards of the settings. A shard that is no
// longer listed is released.
func (n *Node) SetShards(now time.Time, descriptions []ShardSpec) {
	listed := make(map[key.ShardID]bool, len(descriptions))
	for _, d := range descriptions {
		listed[d.ID] = true
		s := n.shardState(d.ID)
		s.spec = d
		s.inSettings = true
	}
	for _, s := range n.shardList {
		if s.inSettings && !listed[s.id] {
			s.inSettings = false
			n.releaseShard(now, s)
		}
	}
	n.rankedMembers = nil
	n.updateRanks()
}

// SetPeers replaces the list of instances. Members are named with incarnation;
// the node itself need not be listed.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.Clone(peers)
	n.peerIndex = make(map[Instance]int, len(peers))
	for at, p := range peers {
		n.peerIndex[p.Member.Instance] = at
	}
	n.updateRanks()
}

// SetRetired replaces the list of instances that operators declare gone. A node
// that finds itself in the list gives up what it holds and promises nothing more.
func (n *Node) SetRetired(now time.Time, names []string) {
	n.proofs.SetRetired(now, names)
	if n.proofs.IsRetired(n.self.Instance) && !n.retired {
		n.retired = true
		n.Leave(now)
		for _, s := range n.shardList {
			n.releaseShard(now, s)
		}
	}
	n.updateRanks()
}

// Leave stops all candidacies. Held shards stay held until they are released.
func (n *Node) Leave(now time.Time) {
	n.leaving = true
	for _, s := range n.shardList {
		if s.activeClaim == nil && s.pendingClaim != nil {
			n.abandonCampaign(now, s)
		}
	}
	n.updateRanks()
}

func (n *Node) shardState(id key.ShardID) *shardState {
	s, ok := n.shards[id]
	if !ok {
		s = &shardState{id: id, refusals: map[Instance]time.Duration{}, rank: -1}
		n.shards[id] = s
		n.shardList = append(n.shardList, s)
		heap.Push(&n.deadlines, s)
	}
	n.markDirty(s)
	return s
}

// markDirty lets the next Tick look at the shard.
func (n *Node) markDirty(s *shardState) {
	if !s.dirty {
		s.dirty = true
		n.dirty = append(n.dirty, s)
	}
}

func (n *Node) markAllDirty() {
	for _, s := range n.shardList {
		n.markDirty(s)
	}
}

// TakeEffects returns what is to be done and forgets it.
func (n *Node) TakeEffects() Effects {
	effects := n.effects
	n.effects = Effects{}
	return effects
}

// Promise returns what this process's witness remembers about a shard.
func (n *Node) Promise(shard key.ShardID) Promise {
	return n.witness.Promise(shard)
}

func (n *Node) reportEvent(kind EventKind, s *shardState, token Token, other Instance) {
	n.effects.Events = append(n.effects.Events, Event{Kind: kind, Shard: s.id, Token: token, Other: other})
}

func (n *Node) promisesExpiredAt(now time.Time) func(Instance) bool {
	return func(i Instance) bool { return n.proofs.PromisesExpired(now, i) }
}
