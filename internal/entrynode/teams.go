package entrynode

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
)

// logTeams logs the number of teams, and how many keys were added and withdrawn, whenever a
// new configuration with teams is in effect or one without them replaces it.
func (n *Node) logTeams(ctx context.Context) {
	last := &facts.Snapshot{}
	for {
		changed := n.facts.Changed()
		if current := n.facts.Snapshot(); current.Config != last.Config {
			n.logTeamChange(last, current)
			last = current
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) logTeamChange(last, current *facts.Snapshot) {
	teams := current.Config.Teams
	if teams == nil && (last.Config == nil || last.Config.Teams == nil) {
		return
	}
	var added, withdrawn int
	if last.Config == nil {
		added, withdrawn = teams.KeyChanges(nil)
	} else {
		added, withdrawn = teams.KeyChanges(last.Config.Teams)
	}
	n.log.Emit(events.TeamsChanged, "settings_version", current.Config.Version, "keys_required", teams != nil, "teams", len(teams.All()),
		"keys", teams.KeyCount(), "keys_added", added, "keys_withdrawn", withdrawn)
}
