package authority

import "time"

// minPause separates two Ticks without input, so that a process never spins.
const minPause = time.Millisecond

// Tick does everything that is due at now.
func (n *Node) Tick(now time.Time) {
	renew := !n.renewAt.After(now)
	for _, s := range n.order {
		n.tickShard(now, s, renew)
	}
	if renew {
		n.renewAt = now.Add(n.timing.RenewInterval)
	}
	n.flush(now)
}

func (n *Node) tickShard(now time.Time, s *shardState, renew bool) {
	n.expire(now, s)
	n.settleCampaign(now, s)
	n.askAgain(now, s)
	if s.active != nil {
		if renew {
			n.sendClaims(now, s)
		}
		n.maintainWitnesses(now, s)
		n.adviseHandOver(now, s)
	} else if n.mayCampaign(now, s) {
		n.campaign(now, s)
	}
	n.loadIfDue(now, s)
	n.recover(now, s)
}

// Wake returns when Tick is due next.
func (n *Node) Wake(now time.Time) time.Time {
	wake := n.renewAt
	if !n.holdsAny() {
		wake = now.Add(n.timing.LoadRetryMax)
	}
	for _, s := range n.order {
		wake = earliest(wake, n.wakeShard(now, s))
	}
	return latestOf(wake, now.Add(minPause))
}

func (n *Node) holdsAny() bool {
	for _, s := range n.order {
		if s.active != nil {
			return true
		}
	}
	return false
}

func (n *Node) wakeShard(now time.Time, s *shardState) time.Time {
	wake := now.Add(n.timing.LoadRetryMax)
	if s.active != nil {
		wake = earliest(wake, s.tenure.End)
	}
	if s.next != nil && s.active == nil {
		wake = earliest(earliest(wake, s.campaignEnds), s.askAgainAt)
	}
	if due, ok := n.campaignDue(s); ok && s.next == nil && s.active == nil {
		wake = earliest(wake, due)
	}
	if n.wantsLoad(now, s) {
		wake = earliest(wake, s.loadAt)
	}
	if due, ok := n.recoveryDue(now, s); ok {
		wake = earliest(wake, due)
	} else if !s.orphanedAt.IsZero() {
		wake = earliest(wake, now.Add(n.timing.ProbeInterval))
	}
	return wake
}

// earliest returns the earlier of two times, of which b may be zero for never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
