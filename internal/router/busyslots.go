package router

import "time"

// busySlots is what the last holder of a shard has told in a hand-over. It is immutable.
type busySlots struct {
	servers map[string]busyServer
	until   time.Time
}

// busyServer is the part of a hand-over about one backend server.
type busyServer struct {
	// slots is how many slots requests of the last holder still use.
	slots int
	warm  bool
}

// at returns what is known of server at now.
func (b *busySlots) at(server string, now time.Time) busyServer {
	if b == nil || !now.Before(b.until) {
		return busyServer{}
	}
	return b.servers[server]
}
