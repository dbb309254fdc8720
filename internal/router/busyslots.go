package router

import (
	"time"
)

// busySlots is what the last holder of a shard has told in a hand-over. It is immutable.
type busySlots struct {
	servers map[string]busyServer
	until   time.Time
}

// at returns what is known of server at now.
func (b *busySlots) at(server string, now time.Time) busyServer {
	if b == nil || !now.Before(b.until) {
		return busyServer{}
	}
	return b.servers[server]
}
