package authority

import "time"

// Peer is the known state of an instance that may become a witness.
type Peer struct {
	Member Member
	// Live is set if the instance is in service: not leaving,
	// unresponsive or terminated.
	Live bool
	// Leaving is set if the instance announced that it is leaving. It is
	// replaced as a witness although it still answers.
	Leaving bool
	// LiveChangedAt is when Live last changed, on the local monotonic clock.
	LiveChangedAt time.Time
}

func (p Peer) hasBeenLiveFor(d time.Duration, now time.Time) bool {
	return p.Live && !p.LiveChangedAt.Add(d).After(now)
}
