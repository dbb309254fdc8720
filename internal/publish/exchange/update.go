package exchange

// Update is what an instance has learned and passes on at once.
type Update struct {
	Shards     []ShardEntry
	Quarantine []QuarantineMark
	// SettingsInstalled says that a newer version is in effect.
	SettingsInstalled bool
}

// IsEmpty reports whether there is nothing to pass on.
func (n Update) IsEmpty() bool {
	return len(n.Shards) == 0 && len(n.Quarantine) == 0 && !n.SettingsInstalled
}

// Merge returns the news of both.
func (n Update) Merge(other Update) Update {
	return Update{
		Shards:            append(append([]ShardEntry(nil), n.Shards...), other.Shards...),
		Quarantine:        append(append([]QuarantineMark(nil), n.Quarantine...), other.Quarantine...),
		SettingsInstalled: n.SettingsInstalled || other.SettingsInstalled,
	}
}
