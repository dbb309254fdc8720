package quorum

import "time"

// Follower is what a holder knows about an instance that follows it. All times are of the
// holder's clock.
type Follower struct {
	// Name is the name of the instance.
	Name string
	// JoinedAt is when the instance joined the holder, since when it has joined no other one.
	JoinedAt time.Time
	// ProvedAt is when the holder sent the latest message that the instance has answered
	// while it followed the holder.
	ProvedAt time.Time
	// Local is set for the holder's own instance, which cannot leave it.
	Local bool
}

// counts reports whether the instance provably counts for no successor at now. A
// successor is elected after the lease has ended, hence after the last time at which it
// was confirmed. An instance that has joined the successor has left the holder for that,
// and can only be back later.
func (f Follower) counts(now, leaseConfirmedAt time.Time) bool {
	if f.Local {
		return true
	}
	return now.Sub(f.ProvedAt) <= ProofValidity && !f.JoinedAt.After(leaseConfirmedAt)
}
