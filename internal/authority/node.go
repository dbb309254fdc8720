package authority

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Node is the protocol state machine of one process, which acts as witness,
// candidate and holder of shards. It does no I/O: its inputs are method calls
// that carry the time, its outputs are Effects. It is used by one goroutine.
// After each input the caller calls Tick, executes the result of TakeEffects,
// and calls Tick again no later than NextTick.
type Node struct {
	self      Member
	timing    Timing
	rng       *rand.Rand
	witness   *Witness
	proofs    *TerminationProofs
	startedAt time.Time

	shards    map[key.ShardID]*shardState
	shardList []*shardState
	// dirty holds the shards affected by an input since the last Tick.
	// deadlines holds all shards, ordered by the time at which they need a Tick
	// without input.
	dirty     []*shardState
	deadlines deadlineQueue
	peers     []Peer
	peerIndex map[Instance]int
	// rankedMembers holds the members for which the ranks were last computed.
	rankedMembers []Member
	leaving       bool
	// retired is never reset, even if the operators remove the name from the
	// list: other instances may already treat this incarnation as terminated.
	retired bool
	// heldShards is the number of shards that this process holds.
	heldShards int

	nextRenewalAt time.Time
	lastProbeAt   map[Instance]time.Time
	outbox        map[Instance]*OutgoingRequest
	outboxOrder   []Instance
	effects       Effects
}

// NewNode returns a node that holds no shards. self must have a new
// incarnation.
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

// SetShards replaces the list of shards from the settings. Shards that are no
// longer listed are given up.
func (n *Node) SetShards(now time.Time, specs []ShardSpec) {
	listed := make(map[key.ShardID]bool, len(specs))
	for _, shard := range specs {
		listed[shard.ID] = true
		s := n.shardState(shard.ID)
		s.spec = shard
		s.inSettings = true
	}
	for _, s := range n.shardList {
		if s.inSettings && !listed[s.id] {
			s.inSettings = false
			n.abandonShard(now, s)
		}
	}
	n.rankedMembers = nil
	n.updateRanks()
}

// SetPeers replaces the list of instances, each with its incarnation. The node
// itself may be left out.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.Clone(peers)
	n.peerIndex = make(map[Instance]int, len(peers))
	for at, p := range peers {
		n.peerIndex[p.Member.Instance] = at
	}
	n.updateRanks()
}

// SetRetired replaces the list of instances that operators declare terminated.
// A node that is in the list gives up its shards and makes no further promises.
func (n *Node) SetRetired(now time.Time, names []string) {
	n.proofs.SetRetired(now, names)
	if n.proofs.IsRetired(n.self.Instance) && !n.retired {
		n.retired = true
		n.Leave(now)
		for _, s := range n.shardList {
			n.abandonShard(now, s)
		}
	}
	n.updateRanks()
}

// Leave ends all campaigns and starts no new ones. Shards that are held stay
// held until they are released.
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

// markDirty makes the next Tick process the shard.
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

// TakeEffects returns the pending effects and clears them.
func (n *Node) TakeEffects() Effects {
	effects := n.effects
	n.effects = Effects{}
	return effects
}

// Promise returns the state of this process's own witness for a shard.
func (n *Node) Promise(shard key.ShardID) Promise {
	return n.witness.Promise(shard)
}

func (n *Node) reportEvent(kind EventKind, s *shardState, token Token, other Instance) {
	n.effects.Events = append(n.effects.Events, Event{Kind: kind, Shard: s.id, Token: token, Other: other})
}

func (n *Node) promisesExpiredAt(now time.Time) func(Instance) bool {
	return func(i Instance) bool { return n.proofs.PromisesExpired(now, i) }
}
