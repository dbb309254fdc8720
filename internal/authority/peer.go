package authority

import "time"

// Peer is what a process knows of an instance that could be a witness.
type Peer struct {
	Member Member
	// Live reports that the instance is in service: neither leaving, silent nor gone.
	Live bool
	// Leaving reports that the instance says it is leaving. It is replaced as a
	// witness although it still answers.
	Leaving bool
	// LiveChangedAt is when Live last changed, on the local monotonic clock.
	LiveChangedAt time.Time
}

// hasBeenLiveFor reports whether the peer has been live for at least d.
func (p Peer) hasBeenLiveFor(d time.Duration, now time.Time) bool {
	return p.Live && !p.LiveChangedAt.Add(d).After(now)
}
