package settings

import (
	"encoding/hex"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/textlist"
)

// priorities is the number of request priorities.
const priorities = 10

// HasTeams reports whether the tree has teams. Then callers need a key.
func (t *Tree) HasTeams() bool {
	return len(t.teams) > 0
}

// TeamByKey returns the team that holds the key with the given digest.
func (t *Tree) TeamByKey(digest fleet.KeyDigest) (Team, bool) {
	team, known := t.teamByKey[digest]
	return team, known
}

// AllowsAnonymous reports whether callers need no key for the service.
func (t *Tree) AllowsAnonymous(service string) bool {
	s := t.services[service]
	return s != nil && s.AllowAnonymous
}

// QueuePriority returns the priority of a request of the team, "" for an anonymous one, that
// has the given priority by its service and key; higher ones are served first. The priority
// of the team goes first. Without teams it is the priority of the request.
func (t *Tree) QueuePriority(team string, request int) int {
	if !t.HasTeams() {
		return request
	}
	first := request
	if found := t.teams[team]; found.HasPriority {
		first = found.Priority
	}
	return first*priorities + request
}

func (t *Tree) buildTeams() {
	for _, s := range t.doc.inOrder {
		if s.level != LevelTeam {
			continue
		}
		team := Team{Name: s.team, HasPriority: s.has("team_priority"), Priority: chain{s}.integer("team_priority")}
		t.teams[team.Name] = team
		for _, item := range textlist.Split(s.values["key_digests"]) {
			digest, _ := parseKeyDigest(item)
			t.teamByKey[digest] = team
		}
	}
}

// parseKeyDigest parses the SHA-256 of a key in hexadecimal.
func parseKeyDigest(text string) (fleet.KeyDigest, bool) {
	var digest fleet.KeyDigest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, false
	}
	return fleet.KeyDigest(decoded), true
}
