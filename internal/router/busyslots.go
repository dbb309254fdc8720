package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// inheritedSlots is what the last holder of a shard has told in a hand-over. It is immutable.
type inheritedSlots struct {
	// from and sequence order the reports of one holder.
	from     authority.Instance
	sequence uint64
	servers  map[string]inheritedServer
	until    time.Time
}

// isNewerThan reports whether b is later news than old.
func (s *inheritedSlots) isNewerThan(old *inheritedSlots) bool {
	return old == nil || s.from != old.from || s.sequence > old.sequence
}

// serverAt returns what is known of server serverAt now.
func (s *inheritedSlots) serverAt(server string, now time.Time) inheritedServer {
	if s == nil || !now.Before(s.until) {
		return inheritedServer{}
	}
	return s.servers[server]
}
