package placing

import "time"

// Completion reports the end of an attempt at a server, or that the attempt was not sent.
type Completion struct {
	AttemptID AttemptID
	Server    string
	Outcome   Outcome
	// Team is set if the instance placed the attempt without the holder and the request may
	// have run: the team from whose usage cap it has not been taken yet.
	Team string
	// ContentHash is that of the Attempt.
	ContentHash uint64
	// Duration is the time from sending the request to the end of the attempt.
	Duration time.Duration
	// HeardAt is when the request was written, if the response shows that the server is not
	// leaving, or the zero time.
	HeardAt time.Time
	// Load is the load that the server reported.
	Load Load
}
