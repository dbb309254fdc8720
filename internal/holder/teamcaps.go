package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/quorum"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// teamCaps keeps the usage caps of teams during one tenure. It belongs to the event loop.
type teamCaps struct {
	// ledger is nil until a configuration has a team with a cap.
	ledger *usagecap.Ledger
	// teams are those of the configuration that the ledger has.
	teams *fleet.Teams
	// configured is set once the first configuration of the tenure is known.
	configured bool
}

// hasCaps reports whether one of the teams has a cap.
func hasCaps(teams *fleet.Teams) bool {
	for _, team := range teams.All() {
		if team.Cap.Limited() {
			return true
		}
	}
	return false
}

// refreshTeamCaps uses the caps of the teams in the snapshot.
func (c *Coordinator) refreshTeamCaps(now time.Time) {
	teams, hadNone := c.snapshot.Config.Teams, c.teamCaps.configured
	c.teamCaps.configured = true
	if teams == c.teamCaps.teams {
		return
	}
	c.teamCaps.teams = teams
	if c.teamCaps.ledger == nil {
		if !hasCaps(teams) {
			return
		}
		c.teamCaps.ledger = usagecap.NewLedger(now)
		if !c.isFirstHolder() {
			c.teamCaps.ledger.Succeed(c.startedAt)
		}
		c.shareTeamCaps(now)
		if hadNone && (c.isFirstHolder() || now.Sub(c.startedAt) >= usagecap.NewHolderDelay) {
			c.teamCaps.ledger.SetTeams(now, nil) // nobody can have used the caps that come now
		}
		c.scheduler.UseLedger(c.teamCaps.ledger)
	}
	changes := c.teamCaps.ledger.SetTeams(now, teams.All())
	if changes.Any() {
		c.log.Emit(events.TeamCapsChanged, "epoch", c.epoch, "settings_version", c.snapshot.Config.Version,
			"added", changes.Added, "changed", changes.Changed, "removed", changes.Removed)
	}
	if !hasCaps(teams) {
		c.teamCaps.ledger = nil
		c.scheduler.UseLedger(nil)
	}
}

// shareTeamCaps tells the ledger which part of the caps this holder may use.
func (c *Coordinator) shareTeamCaps(now time.Time) {
	if ledger := c.teamCaps.ledger; ledger != nil {
		ledger.SetInstances(max(len(c.followers), len(c.foundFleet)))
		ledger.SetShare(now, c.capShare(now))
	}
}

// isFirstHolder reports whether no holder before this one can have told allowances.
func (c *Coordinator) isFirstHolder() bool {
	return c.epoch <= 1
}

// capShare returns the share of usage caps that this holder may use. It differs from share in
// that an instance counts from its join on, since it does not use an allowance beside the
// holder that it follows, and in that those which have not joined count for as long as they may
// use the allowances of holders before this one.
func (c *Coordinator) capShare(now time.Time) float64 {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	followers := float64(len(c.followers))
	ownShare := 1 / (max(float64(len(c.quorum.Stored())), followers) + 1) // the record may name no fleet
	if leaseConfirmedAt == nil || c.superseded.Load() {
		return ownShare
	}
	if now.Sub(*leaseConfirmedAt) >= leaseTTL {
		return max(ownShare, c.retainedShare(now, *leaseConfirmedAt))
	}
	allowancesEndBy := c.startedAt
	if !c.lastHolderEnded && c.predecessorsEndBy.After(allowancesEndBy) {
		allowancesEndBy = c.predecessorsEndBy
	}
	switch {
	case c.isFirstHolder() || now.Sub(allowancesEndBy) >= usagecap.NewHolderDelay:
		return 1
	case len(c.foundFleet) == 0:
		return max(ownShare, followers/(followers+1))
	}
	return max(ownShare, quorum.JoinedShare(c.foundFleet, c.followerNames()))
}

// joinTeamCaps records that an instance follows this holder.
func (c *Coordinator) joinTeamCaps(now time.Time, f *link.Follower) {
	if c.teamCaps.ledger != nil {
		c.teamCaps.ledger.Rejoin(now, f.Instance)
	}
}

// leaveTeamCaps records that no link of an instance is left.
func (c *Coordinator) leaveTeamCaps(now time.Time, f *link.Follower) {
	if c.teamCaps.ledger != nil {
		c.teamCaps.ledger.Lose(now, f.Instance)
	}
}

// inheritTeamCaps records what an instance holds by allowances of the holder before this one.
func (c *Coordinator) inheritTeamCaps(now time.Time, f *link.Follower, holdings map[string]usagecap.Holding) {
	if c.teamCaps.ledger != nil && len(holdings) > 0 {
		c.teamCaps.ledger.Inherit(now, f.Instance, holdings)
	}
}
