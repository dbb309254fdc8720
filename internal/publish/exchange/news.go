package exchange

// News is what an instance has learned and passes on at once.
type News struct {
	Shards     []ShardEntry
	Quarantine []QuarantineMark
	// Settings says that a newer version is in effect.
	Settings bool
}

// IsEmpty reports whether there is nothing to pass on.
func (n News) IsEmpty() bool {
	return len(n.Shards) == 0 && len(n.Quarantine) == 0 && !n.Settings
}

// And returns the news of both.
func (n News) And(other News) News {
	return News{
		Shards:     append(append([]ShardEntry(nil), n.Shards...), other.Shards...),
		Quarantine: append(append([]QuarantineMark(nil), n.Quarantine...), other.Quarantine...),
		Settings:   n.Settings || other.Settings,
	}
}
