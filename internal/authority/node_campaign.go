package authority

import (
	"math"
	"slices"
	"time"
)

const (
	// handOverTimeout is how long an announced hand-over is expected. The
	// current holder finishes its requests in flight before it releases the
	// shard.
	handOverTimeout = 40 * time.Second
	// abstainAfterRelease is how long a holder that released a shard does not
	// campaign for it, so that another instance takes over.
	abstainAfterRelease = 2 * time.Second
	// handOverRetryInterval is the time between attempts of the instance that
	// expects a hand-over. The witnesses receive the previous holder's release
	// at slightly different times.
	handOverRetryInterval = 5 * time.Millisecond
	// maxCampaignBackoff bounds the delay between campaigns that find no
	// majority.
	maxCampaignBackoff = 320 * time.Millisecond
	// waitUnknown is the wait for a member that did not answer.
	waitUnknown = time.Duration(math.MaxInt64)
)

// campaignDueAt returns when this process starts a campaign. ok is false if it
// cannot be a candidate, already campaigns, or holds the shard.
func (n *Node) campaignDueAt(s *shardState) (due time.Time, ok bool) {
	rank := s.config.Rank(n.self.Instance)
	if n.leaving || !s.inSettings || s.configLearnedAt.IsZero() || rank < 0 || s.activeClaim != nil || s.pendingClaim != nil {
		return time.Time{}, false
	}
	promise := n.witness.Promise(s.id)
	if promise.Highest.Epoch > s.config.Epoch {
		return time.Time{}, false
	}
	return latestTime(s.campaignRetryAt, s.abstainUntil, n.shardFreeAt(s, promise, rank)), true
}

// shardFreeAt returns when the shard becomes free according to the own witness,
// plus the rank delay.
func (n *Node) shardFreeAt(s *shardState, promise Promise, rank int) time.Time {
	delay := time.Duration(rank) * n.timing.RankDelay
	switch {
	case promise.Holder == n.self.Instance:
		return time.Time{}
	case promise.Holder.IsZero() && s.createdEpoch:
		return time.Time{}
	case promise.Holder.IsZero():
		// The own witness is new in the set; the others may have promised to a
		// holder.
		return s.configLearnedAt.Add(n.timing.ExpiredAfter() + delay)
	case promise.Released && promise.Until.Before(s.handOverExpectedUntil):
		return promise.Until
	case promise.Released:
		return promise.Until.Add(delay + n.timing.RankDelay)
	}
	return promise.Until.Add(delay)
}

func (n *Node) campaignIsDue(now time.Time, s *shardState) bool {
	due, ok := n.campaignDueAt(s)
	return ok && !due.After(now)
}

func (n *Node) startCampaign(now time.Time, s *shardState) {
	s.pendingClaim = n.newClaim(s)
	s.campaignDeadline = now.Add(n.timing.CampaignTimeout)
	clear(s.refusals)
	s.retryClaimsAt = time.Time{}
	n.sendClaims(now, s)
}

// newClaim returns a claim under the latest configuration with a token above
// all tokens observed.
func (n *Node) newClaim(s *shardState) *Claim {
	claim := NewClaim(s.id, n.self.Instance, s.nextBallot(), s.config)
	s.observeToken(claim.token)
	return claim
}

// concludeCampaign adopts the pending claim once it has a quorum, and fails a
// campaign that passes its deadline without one.
func (n *Node) concludeCampaign(now time.Time, s *shardState) {
	if s.pendingClaim == nil {
		return
	}
	quorum := s.pendingClaim.Quorum(n.promisesExpiredAt(now))
	since, ok := quorum.PromisedSince()
	if ok && s.activeClaim == nil && !quorum.MajoritiesAnswered() && s.campaignDeadline.After(now) {
		// A proof of termination seals a previous set, but its members that
		// still answer may know the mirror set. Without the mirror set, the
		// request records are lost, so wait for their answers until the
		// campaign's deadline.
		return
	}
	if end := n.timing.TenureEnd(since); ok && end.After(now) && !endsEarlier(s, end) {
		n.adoptPendingClaim(now, s, end)
		return
	}
	if s.activeClaim == nil && !s.campaignDeadline.After(now) {
		n.failCampaign(now, s)
	}
}

// endsEarlier reports whether the shard is held until later than end. Grants that are in
// force until then are protected by the promises of the active claim only: members of a new
// witness set may have promised earlier than those of the old one.
func endsEarlier(s *shardState, end time.Time) bool {
	return s.activeClaim != nil && end.Before(s.tenure.End)
}

// adoptPendingClaim makes the pending claim the active one. A candidate becomes
// the holder; a holder continues under a higher token.
func (n *Node) adoptPendingClaim(now time.Time, s *shardState, end time.Time) {
	claim := s.pendingClaim
	tenure := Tenure{Shard: s.id, Token: claim.token, Holder: n.self.Instance, Since: now, End: end}
	kind := EventShardTaken
	if s.activeClaim != nil {
		kind = EventTokenRaised
		tenure.Since = s.tenure.Since
		tenure.Mirrors = s.tenure.Mirrors
	} else {
		n.heldShards++
		s.readBackoff = n.timing.RecordReadRetryMax
		n.scheduleRecordRead(now, s)
		s.proposedMirrors = n.initialMirrors(now, claim)
		tenure.Mirrors = s.proposedMirrors
	}
	s.activeClaim, s.pendingClaim = claim, nil
	s.failedCampaigns, s.createdEpoch = 0, false
	s.handOverExpectedUntil = time.Time{}
	n.publishTenure(s, &tenure)
	n.reportEvent(kind, s, claim.token, n.self.Instance)
}

// failCampaign ends a campaign without a quorum and schedules the next one.
func (n *Node) failCampaign(now time.Time, s *shardState) {
	wait := n.timeUntilMajorityFree(now, s)
	noAnswer := wait == waitUnknown
	// Another candidate may release its promises long before they expire, so
	// the wait is capped. Waiting for expiry took more than 1 s when two
	// holders were lost in a row.
	wait = min(wait, n.timing.RankDelay<<min(s.failedCampaigns, 4), maxCampaignBackoff)
	if noAnswer {
		n.probeUnresponsiveMembers(now, s)
		n.reportNoMajority(now, s)
		n.markConfigOutdated(now, s)
	}
	s.failedCampaigns++
	n.abandonCampaign(now, s)
	rank := max(0, s.config.Rank(n.self.Instance))
	if now.Before(s.handOverExpectedUntil) && !noAnswer {
		s.campaignRetryAt = now.Add(handOverRetryInterval)
		return
	}
	jitter := time.Duration(n.rng.Int64N(int64(n.timing.RankDelay)))
	s.campaignRetryAt = now.Add(wait + time.Duration(rank)*n.timing.RankDelay + jitter)
}

// abandonCampaign ends a campaign and releases its promises, so that other
// candidates need not wait for them to expire.
func (n *Node) abandonCampaign(now time.Time, s *shardState) {
	n.releasePromises(now, s, s.pendingClaim)
	s.pendingClaim = nil
}

func (n *Node) releasePromises(now time.Time, s *shardState, claim *Claim) {
	for _, m := range claim.config.Members() {
		n.enqueueClaim(now, m, ShardClaim{Shard: s.id, Token: claim.token, Release: true})
	}
}

// timeUntilMajorityFree returns how long it takes until a majority of each set
// may be free to promise, or waitUnknown.
func (n *Node) timeUntilMajorityFree(now time.Time, s *shardState) time.Duration {
	claim := s.pendingClaim
	wait := n.timeUntilSetFree(s, claim.config.Witnesses, func(Instance) bool { return false })
	for _, set := range claim.config.Previous {
		wait = max(wait, n.timeUntilSetFree(s, set, n.promisesExpiredAt(now)))
	}
	return wait
}

func (n *Node) timeUntilSetFree(s *shardState, set []Member, terminated func(Instance) bool) time.Duration {
	waits := make([]time.Duration, len(set))
	for i, m := range set {
		waits[i] = n.timeUntilMemberFree(s, m.Instance, terminated)
	}
	slices.Sort(waits)
	return waits[Majority(len(set))-1]
}

func (n *Node) timeUntilMemberFree(s *shardState, i Instance, terminated func(Instance) bool) time.Duration {
	if _, promised := s.pendingClaim.promises[i]; promised || terminated(i) {
		return 0
	}
	if wait, refused := s.refusals[i]; refused {
		return wait
	}
	return waitUnknown
}

// retryRefusedClaims repeats the claim to witnesses whose promise to another
// instance expires during this campaign. Promises to one holder expire some
// milliseconds apart.
func (n *Node) retryRefusedClaims(now time.Time, s *shardState) {
	if s.pendingClaim == nil || s.activeClaim != nil || s.retryClaimsAt.IsZero() || s.retryClaimsAt.After(now) {
		return
	}
	s.retryClaimsAt = time.Time{}
	claim := ShardClaim{Shard: s.id, Token: s.pendingClaim.token}
	for _, m := range s.pendingClaim.config.Members() {
		if wait, refused := s.refusals[m.Instance]; refused && n.expiresSoon(wait) {
			delete(s.refusals, m.Instance)
			n.enqueueClaim(now, m, claim)
		}
	}
}

// expiresSoon reports whether a promise with this remaining time expires soon
// enough to repeat the claim within the same campaign.
func (n *Node) expiresSoon(wait time.Duration) bool {
	return wait > 0 && wait <= n.timing.RankDelay
}

// failIfMajorityRefused ends a campaign immediately when refusals make a
// majority impossible.
func (n *Node) failIfMajorityRefused(now time.Time, s *shardState) {
	for _, set := range append([][]Member{s.pendingClaim.config.Witnesses}, s.pendingClaim.config.Previous...) {
		refused := 0
		for _, m := range set {
			if wait, ok := s.refusals[m.Instance]; ok && !n.expiresSoon(wait) {
				refused++
			}
		}
		if len(set)-refused < Majority(len(set)) {
			n.failCampaign(now, s)
			return
		}
	}
}

func (n *Node) reportNoMajority(now time.Time, s *shardState) {
	if now.Before(s.noMajorityReportedAt.Add(eventInterval)) {
		return
	}
	s.noMajorityReportedAt = now
	n.reportEvent(EventNoMajority, s, s.pendingClaim.token, Instance{})
}

func latestTime(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
