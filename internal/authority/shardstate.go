package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// shardState is what a Node knows of one shard. It is changed by the Node only.
type shardState struct {
	id   key.ShardID
	spec ShardSpec
	// inSettings is false when only a peer or the record speaks of the shard.
	inSettings bool

	// config is the latest configuration known from the record; known is when
	// it was learned and zero before.
	config          WitnessConfig
	configLearnedAt time.Time

	// activeClaim is the claim of the holder, under which tenure is published.
	activeClaim *Claim
	tenure      *Tenure
	// pendingClaim is the claim of a candidate, or of a holder that is about to raise its token.
	pendingClaim     *Claim
	campaignDeadline time.Time
	// refusals holds how long the members that refused the candidacy are bound.
	refusals      map[Instance]time.Duration
	retryClaimsAt time.Time
	highestToken  Token
	// acceptedToken is the highest token that the own witness acceptedToken.
	acceptedToken   Token
	campaignRetryAt time.Time
	failedCampaigns int

	// proposedMirrors is the mirror set that claims carry; the tenure shows it once a
	// majority has acknowledged it.
	proposedMirrors MirrorSet

	reading     bool
	nextReadAt  time.Time
	lastReadAt  time.Time
	readBackoff time.Duration
	// configOutdated asks for an early read: a peer spoke of a higher epoch.
	configOutdated bool

	// recordMissing reports that the last read found no record.
	recordMissing bool
	// createdEpoch reports that this process wrote the epoch and campaigns at once.
	createdEpoch bool

	committing        bool
	lastProposalAt    time.Time
	nextMaintenanceAt time.Time
	nextClearanceAt   time.Time
	// nextRebalanceAt is when the preferred witnesses are compared next.
	nextRebalanceAt time.Time
	// recoveryNeededSince is when the lack of a majority in service was seen; zero otherwise.
	recoveryNeededSince time.Time
	lastAdviceAt        time.Time

	handOverExpectedUntil time.Time
	abstainUntil          time.Time
	noMajorityReportedAt  time.Time

	// dirty, dueAt and position are kept by the Node's due queue.
	dirty      bool
	nextTickAt time.Time
	heapIndex  int

	// rank is the place of this process in the rendezvous order, or -1.
	rank int
	// monitorsRecord reports that this process reads the record unasked.
	monitorsRecord bool
}

// openClaims returns the active and the next claim, without those that are nil.
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

// mirrorsFor returns the mirror set to send to a member: a candidate states none,
// and a member that has acknowledged the set gets its generation only.
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

// observeToken remembers the highest token heard of.
func (s *shardState) observeToken(token Token) {
	if s.highestToken.Less(token) {
		s.highestToken = token
	}
}

// nextBallot returns a ballot above all that were heard of in this epoch.
func (s *shardState) nextBallot() uint64 {
	if s.highestToken.Epoch == s.config.Epoch {
		return s.highestToken.Ballot + 1
	}
	return 1
}
