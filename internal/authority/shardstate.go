package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// shardState is what a Node knows of one shard. It is changed by the Node only.
type shardState struct {
	id   key.ShardID
	desc ShardSpec
	// described is false when only a peer or the record speaks of the shard.
	described bool

	// config is the latest configuration known from the record; known is when
	// it was learned and zero before.
	config WitnessConfig
	known  time.Time

	// active is the claim of the holder, under which tenure is published.
	active *Claim
	tenure *Tenure
	// next is the claim of a candidate, or of a holder that is about to raise its token.
	next         *Claim
	campaignEnds time.Time
	// waits holds how long the members that refused the candidacy are bound.
	waits      map[Instance]time.Duration
	askAgainAt time.Time
	highest    Token
	// accepted is the highest token that the own witness accepted.
	accepted Token
	retryAt  time.Time
	failures int

	// stated is the mirror set that claims carry; the tenure shows it once a
	// majority has acknowledged it.
	stated MirrorSet

	loading   bool
	loadAt    time.Time
	loadedAt  time.Time
	loadPause time.Duration
	// outdated asks for an early read: a peer spoke of a higher epoch.
	outdated bool

	// missing reports that the last read found no record.
	missing bool
	// founder reports that this process wrote the epoch and campaigns at once.
	founder bool

	committing bool
	changedAt  time.Time
	maintainAt time.Time
	settleAt   time.Time
	// rebalanceAt is when the preferred witnesses are compared next.
	rebalanceAt time.Time
	// orphanedAt is when the lack of a majority in service was seen; zero otherwise.
	orphanedAt time.Time
	advisedAt  time.Time

	expectedUntil        time.Time
	abstainUntil         time.Time
	noMajorityReportedAt time.Time

	// touched, dueAt and position are kept by the Node's due queue.
	touched  bool
	dueAt    time.Time
	position int

	// rank is the place of this process in the rendezvous order, or -1.
	rank int
	// interested reports that this process reads the record unasked.
	interested bool
}

// claims returns the active and the next claim, without those that are nil.
func (s *shardState) claims() []*Claim {
	claims := make([]*Claim, 0, 2)
	if s.active != nil {
		claims = append(claims, s.active)
	}
	if s.next != nil {
		claims = append(claims, s.next)
	}
	return claims
}

// latest returns the claim with the highest token, or nil.
func (s *shardState) latest() *Claim {
	if s.next != nil {
		return s.next
	}
	return s.active
}

// statedTo returns the mirror set to send to a member: a candidate states none,
// and a member that has acknowledged the set gets its generation only.
func (s *shardState) statedTo(i Instance) MirrorSet {
	if s.active == nil {
		return MirrorSet{}
	}
	for _, c := range s.claims() {
		if c.promises[i].generation >= s.stated.Generation {
			return MirrorSet{Generation: s.stated.Generation}
		}
	}
	return s.stated
}

// see remembers the highest token heard of.
func (s *shardState) see(token Token) {
	if s.highest.Less(token) {
		s.highest = token
	}
}

// nextBallot returns a ballot above all that were heard of in this epoch.
func (s *shardState) nextBallot() uint64 {
	if s.highest.Epoch == s.config.Epoch {
		return s.highest.Ballot + 1
	}
	return 1
}
