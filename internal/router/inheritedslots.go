package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// inheritedSlots is a report of the previous holder of a shard about the slots that its
// requests still use. It is immutable.
type inheritedSlots struct {
	// from and sequence order the reports of one holder.
	from     authority.Instance
	sequence uint64
	servers  map[string]inheritedServer
	// until is when the report expires.
	until time.Time
}

// isNewerThan reports whether s was sent after old or by another holder.
func (s *inheritedSlots) isNewerThan(old *inheritedSlots) bool {
	return old == nil || s.from != old.from || s.sequence > old.sequence
}

// serverAt returns the report about server, or the zero value if it has expired.
func (s *inheritedSlots) serverAt(server string, now time.Time) inheritedServer {
	if s == nil || !now.Before(s.until) {
		return inheritedServer{}
	}
	return s.servers[server]
}
