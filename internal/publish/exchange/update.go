package exchange

// Update is what an instance has newly merged and pushes to peers at once.
type Update struct {
	Shards     []ShardEntry
	Quarantine []QuarantineMark
	// SettingsInstalled reports that a newer settings version came into effect.
	SettingsInstalled bool
}

// IsEmpty reports whether there is nothing to push.
func (u Update) IsEmpty() bool {
	return len(u.Shards) == 0 && len(u.Quarantine) == 0 && !u.SettingsInstalled
}

// Merge returns an update with the content of both.
func (u Update) Merge(other Update) Update {
	return Update{
		Shards:            append(append([]ShardEntry(nil), u.Shards...), other.Shards...),
		Quarantine:        append(append([]QuarantineMark(nil), u.Quarantine...), other.Quarantine...),
		SettingsInstalled: u.SettingsInstalled || other.SettingsInstalled,
	}
}
