package fleet

// Teams holds the teams of one configuration and their API keys. It is immutable.
type Teams struct {
	byName map[string]*Team
	byKey  map[KeyDigest]*Team
}

// NewTeams returns the given teams. keys maps each API key to the name of its team.
func NewTeams(teams []*Team, keys map[KeyDigest]string) *Teams {
	t := &Teams{byName: make(map[string]*Team, len(teams)), byKey: make(map[KeyDigest]*Team, len(keys))}
	for _, team := range teams {
		t.byName[team.Name] = team
	}
	for digest, name := range keys {
		if team := t.byName[name]; team != nil {
			t.byKey[digest] = team
		}
	}
	return t
}

// ByKey returns the team that holds the key with the given digest, or nil.
func (t *Teams) ByKey(digest KeyDigest) *Team {
	return t.byKey[digest]
}

// Team returns the team of that name, or nil. It may be called on nil.
func (t *Teams) Team(name string) *Team {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// All returns the teams by name. It must not be modified, and may be called on nil.
func (t *Teams) All() map[string]*Team {
	if t == nil {
		return nil
	}
	return t.byName
}

// KeyCount returns the number of keys of all teams. It may be called on nil.
func (t *Teams) KeyCount() int {
	if t == nil {
		return 0
	}
	return len(t.byKey)
}

// KeyChanges returns how many keys t has that old has not, or has for another team, and how
// many of old t has no more. Both may be nil.
func (t *Teams) KeyChanges(old *Teams) (added, withdrawn int) {
	return t.keysWithout(old), old.keysWithout(t)
}

// keysWithout returns how many keys t has that other has not, or has for another team.
func (t *Teams) keysWithout(other *Teams) int {
	if t == nil {
		return 0
	}
	count := 0
	for digest, team := range t.byKey {
		if other == nil || other.byKey[digest] == nil || other.byKey[digest].Name != team.Name {
			count++
		}
	}
	return count
}
