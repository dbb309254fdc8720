package link

import "time"

const (
	// outboxSize bounds what waits for a slow peer; beyond it the link is cut.
	outboxSize = 512
	// dialTimeout bounds the connection to another instance: several round trips.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a link whose bytes the peer does not acknowledge.
	unackedTimeout = time.Second
	// HeartbeatInterval is how often the holder tells its followers that it lives.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout without a heartbeat a follower cuts the link: two heartbeats
	// that are lost and a delay.
	HeartbeatTimeout = 800 * time.Millisecond
)
