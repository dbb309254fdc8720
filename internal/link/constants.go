package link

import "time"

const (
	// outboxSize bounds the messages waiting for a slow peer. Further ones for a follower are
	// merged into one.
	outboxSize = 512
	// maxOverflow bounds the decisions in that one: more than an instance gets in 10 s.
	maxOverflow = 4096
	// maxFollowerSilence is how long a follower that does not read may send nothing before its
	// link is closed. It sends a message each second.
	maxFollowerSilence = 3 * stampInterval
	// maxReceiving is how long an instance waits for the parts of a listing before it reads the
	// store itself. At the pace of the holder, 298 instances have 3,006 servers within 2 s.
	maxReceiving = 4 * time.Second
	// maxIncoming bounds the servers that an instance keeps of a listing in parts: twenty times
	// those of the largest fleet.
	maxIncoming = 60_000
	// dialTimeout bounds connecting to another instance. It allows for several round trips.
	dialTimeout = 400 * time.Millisecond
	// questionTimeout bounds a question for the holder, from the connection to the answer.
	questionTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before the
	// connection is closed.
	unackedTimeout = time.Second
	// acceptBackoff is the wait after a failed accept, which usually means that file
	// descriptors are exhausted.
	acceptBackoff = 10 * time.Millisecond
	// stampInterval is how often a follower sends a message if there is nothing else to send:
	// once in each window of the clock.
	stampInterval = time.Second
	// HeartbeatInterval is how often the holder sends heartbeats to its followers.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is how long a follower waits for a heartbeat before it closes the
	// link: long enough for two lost heartbeats and a delay.
	HeartbeatTimeout = 800 * time.Millisecond
)
