package authority

import (
	"container/heap"
	"time"
)

// minTickInterval is the minimum time between two Ticks without input, so that
// the process does not busy-loop.
const minTickInterval = time.Millisecond

// Tick performs all actions that are due at now.
func (n *Node) Tick(now time.Time) {
	renew := !n.nextRenewalAt.After(now)
	n.markDue(now, renew)
	processed := n.tickDirty(now, renew)
	n.flushOutbox(now)
	for len(n.dirty) > 0 {
		// Replies of the own witness are processed immediately.
		processed = append(processed, n.tickDirty(now, false)...)
		n.flushOutbox(now)
	}
	for _, s := range processed {
		s.nextTickAt = n.nextShardTick(now, s)
		heap.Fix(&n.deadlines, s.heapIndex)
	}
	if renew {
		n.nextRenewalAt = now.Add(n.timing.RenewInterval)
	}
}

// markDue marks the shards whose deadline has passed and, if renew is set, the
// shards that are held.
func (n *Node) markDue(now time.Time, renew bool) {
	if renew {
		for _, s := range n.shardList {
			if s.activeClaim != nil {
				n.markDirty(s)
			}
		}
	}
	for len(n.deadlines) > 0 && !n.deadlines[0].nextTickAt.After(now) {
		s := n.deadlines[0]
		s.nextTickAt = now.Add(n.timing.RecordReadRetryMax)
		heap.Fix(&n.deadlines, s.heapIndex)
		n.markDirty(s)
	}
}

func (n *Node) tickDirty(now time.Time, renew bool) []*shardState {
	dirty := n.dirty
	n.dirty = nil
	for _, s := range dirty {
		s.dirty = false
		n.tickShard(now, s, renew)
	}
	return dirty
}

func (n *Node) tickShard(now time.Time, s *shardState, renew bool) {
	n.expireTenure(now, s)
	n.concludeCampaign(now, s)
	n.retryRefusedClaims(now, s)
	if s.activeClaim != nil {
		if renew {
			n.sendClaims(now, s)
		}
		n.maintainWitnesses(now, s)
		n.adviseHandOver(now, s)
	} else if n.campaignIsDue(now, s) {
		n.startCampaign(now, s)
	}
	n.readRecordIfDue(now, s)
	n.recoverShard(now, s)
}

// NextTick returns when Tick must be called next.
func (n *Node) NextTick(now time.Time) time.Time {
	wake := now.Add(n.timing.RecordReadRetryMax)
	if n.heldShards > 0 {
		wake = earlierTime(wake, n.nextRenewalAt)
	}
	if len(n.deadlines) > 0 {
		wake = earlierTime(wake, n.deadlines[0].nextTickAt)
	}
	return latestTime(wake, now.Add(minTickInterval))
}

func (n *Node) nextShardTick(now time.Time, s *shardState) time.Time {
	wake := now.Add(n.timing.RecordReadRetryMax)
	if s.activeClaim != nil {
		wake = earlierTime(wake, s.tenure.End)
	}
	if s.pendingClaim != nil && s.activeClaim == nil {
		wake = earlierTime(earlierTime(wake, s.campaignDeadline), s.retryClaimsAt)
	}
	if due, ok := n.campaignDueAt(s); ok && s.pendingClaim == nil && s.activeClaim == nil {
		wake = earlierTime(wake, due)
	}
	if n.wantsRecordRead(now, s) {
		wake = earlierTime(wake, s.nextReadAt)
	}
	if due, ok := n.recoveryDueAt(now, s); ok {
		wake = earlierTime(wake, due)
	} else if !s.recoveryNeededSince.IsZero() {
		wake = earlierTime(wake, now.Add(n.timing.ProbeInterval))
	}
	return wake
}

// earlierTime returns the earlier of a and b. A zero b means never.
func earlierTime(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
