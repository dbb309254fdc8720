package router

import "time"

// busySlots are the slots of backend servers that requests of a shard's last
// holder still use after a hand-over.
type busySlots struct {
	servers map[string]int
	until   time.Time
}

// at returns the slots in use on server at now.
func (b *busySlots) at(server string, now time.Time) int {
	if b == nil || !now.Before(b.until) {
		return 0
	}
	return b.servers[server]
}
