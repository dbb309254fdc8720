package exchange

// Update is what an instance has newly merged and pushes to peers at once.
type Update struct {
	Shards     []ShardEntry
	Quarantine []QuarantineMark
	// SettingsInstalled reports that a newer settings version came into effect.
	SettingsInstalled bool
}

// IsEmpty reports whether there is nothing to push.
func (n Update) IsEmpty() bool {
	return len(n.Shards) == 0 && len(n.Quarantine) == 0 && !n.SettingsInstalled
}

// Merge returns an update with the content of both.
func (n Update) Merge(other Update) Update {
	return Update{
		Shards:            append(append([]ShardEntry(nil), n.Shards...), other.Shards...),
		Quarantine:        append(append([]QuarantineMark(nil), n.Quarantine...), other.Quarantine...),
		SettingsInstalled: n.SettingsInstalled || other.SettingsInstalled,
	}
}
