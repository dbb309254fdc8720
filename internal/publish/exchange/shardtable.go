package exchange

import (
	"cmp"
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// ShardTable maps shards to their holders. It is immutable. A nil table is empty.
type ShardTable struct {
	entries map[key.ShardID]ShardEntry
	digest  uint64
}

// Find returns the newest known entry of a shard.
func (t *ShardTable) Find(shard key.ShardID) (ShardEntry, bool) {
	if t == nil {
		return ShardEntry{}, false
	}
	entry, ok := t.entries[shard]
	return entry, ok
}

// Len returns the number of shards with a known holder.
func (t *ShardTable) Len() int {
	if t == nil {
		return 0
	}
	return len(t.entries)
}

// Digest returns a hash over shards and tokens. It does not depend on the order in which the
// entries were added.
func (t *ShardTable) Digest() uint64 {
	if t == nil {
		return 0
	}
	return t.digest
}

// Entries returns all entries, ordered by shard.
func (t *ShardTable) Entries() []ShardEntry {
	if t == nil {
		return nil
	}
	list := make([]ShardEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b ShardEntry) int {
		return cmp.Or(cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.Index, b.Shard.Index))
	})
	return list
}

// Newer returns the entries with a higher token than the table has.
func (t *ShardTable) Newer(entries []ShardEntry) []ShardEntry {
	var newer []ShardEntry
	for _, entry := range entries {
		known, ok := t.Find(entry.Shard)
		if !ok || known.Token.Less(entry.Token) {
			newer = append(newer, entry)
		}
	}
	return newer
}

// With returns a copy of the table with the newer ones of entries added.
func (t *ShardTable) With(entries []ShardEntry) *ShardTable {
	next := &ShardTable{entries: make(map[key.ShardID]ShardEntry, t.Len()+len(entries)), digest: t.Digest()}
	if t != nil {
		for shard, entry := range t.entries {
			next.entries[shard] = entry
		}
	}
	for _, entry := range entries {
		known, ok := next.entries[entry.Shard]
		if ok && !known.Token.Less(entry.Token) {
			continue
		}
		if ok {
			next.digest ^= known.hash()
		}
		next.digest ^= entry.hash()
		next.entries[entry.Shard] = entry
	}
	return next
}

// MissingFrom returns the entries of t that are absent from other or newer than there.
func (t *ShardTable) MissingFrom(other []ShardEntry) []ShardEntry {
	var theirs *ShardTable
	return theirs.With(other).Newer(t.Entries())
}
