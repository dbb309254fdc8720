package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// shardState is the state of one shard within a Node. Only the Node modifies
// it.
type shardState struct {
	id   key.ShardID
	spec ShardSpec
	// inSettings is false if the shard is known only from a peer or the record.
	inSettings bool

	// config is the latest known configuration from the record. configLearnedAt
	// is when it was learned, or zero if none is known.
	config          WitnessConfig
	configLearnedAt time.Time

	// activeClaim is the holder's claim, under which tenure is published.
	activeClaim *Claim
	tenure      *Tenure
	// pendingClaim is the claim of a candidate, or of a holder that raises its
	// token.
	pendingClaim     *Claim
	campaignDeadline time.Time
	// refusals holds, for each member that refused the claim, how long its
	// promise to another instance lasts.
	refusals      map[Instance]time.Duration
	retryClaimsAt time.Time
	highestToken  Token
	// acceptedToken is the highest token that the own witness has accepted.
	acceptedToken   Token
	campaignRetryAt time.Time
	failedCampaigns int

	// proposedMirrors is the mirror set sent with claims. The tenure contains
	// it once a majority has acknowledged it.
	proposedMirrors MirrorSet

	reading     bool
	nextReadAt  time.Time
	lastReadAt  time.Time
	readBackoff time.Duration
	// configOutdated requests an early read of the record, because a peer
	// reported a higher epoch.
	configOutdated bool

	// recordMissing is set if the last read found no record.
	recordMissing bool
	// createdEpoch is set if this process wrote the epoch; it then campaigns
	// without delay.
	createdEpoch bool

	committing        bool
	lastProposalAt    time.Time
	nextMaintenanceAt time.Time
	nextClearanceAt   time.Time
	// nextRebalanceAt is when the witnesses are next compared with the
	// preferred ones.
	nextRebalanceAt time.Time
	// recoveryNeededSince is when the shard was first seen without a record or
	// without a majority of its witnesses in service; otherwise zero.
	recoveryNeededSince time.Time
	lastAdviceAt        time.Time

	handOverExpectedUntil time.Time
	abstainUntil          time.Time
	noMajorityReportedAt  time.Time

	// dirty, nextTickAt and heapIndex belong to the Node's scheduling of Ticks.
	dirty      bool
	nextTickAt time.Time
	heapIndex  int

	// rank is the position of this process in the rendezvous order of the
	// shard, or -1.
	rank int
	// monitorsRecord is set if this process reads the record even when it is
	// not a witness.
	monitorsRecord bool
}

// openClaims returns the active and the pending claim, without nil ones.
func (s *shardState) openClaims() []*Claim {
	claims := make([]*Claim, 0, 2)
	if s.activeClaim != nil {
		claims = append(claims, s.activeClaim)
	}
	if s.pendingClaim != nil {
		claims = append(claims, s.pendingClaim)
	}
	return claims
}

// latestClaim returns the claim with the highest token, or nil.
func (s *shardState) latestClaim() *Claim {
	if s.pendingClaim != nil {
		return s.pendingClaim
	}
	return s.activeClaim
}

// mirrorsFor returns the mirror set to send to a member: none for a candidate,
// and only the generation for a member that has acknowledged the set.
func (s *shardState) mirrorsFor(i Instance) MirrorSet {
	if s.activeClaim == nil {
		return MirrorSet{}
	}
	for _, c := range s.openClaims() {
		if c.promises[i].generation >= s.proposedMirrors.Generation {
			return MirrorSet{Generation: s.proposedMirrors.Generation}
		}
	}
	return s.proposedMirrors
}

// observeToken records a token if it is the highest observed so far.
func (s *shardState) observeToken(token Token) {
	if s.highestToken.Less(token) {
		s.highestToken = token
	}
}

// nextBallot returns a ballot above all ballots observed in this epoch.
func (s *shardState) nextBallot() uint64 {
	if s.highestToken.Epoch == s.config.Epoch {
		return s.highestToken.Ballot + 1
	}
	return 1
}
