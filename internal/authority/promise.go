package authority

import "time"

// Promise is the state of a witness for one shard. It is kept in memory only: a
// restarted process has a new incarnation, which the earlier claims are not
// addressed to.
type Promise struct {
	// Highest is the highest token accepted. Lower tokens are refused.
	Highest Token
	// Holder is the instance whose claim was accepted with Highest.
	Holder Instance
	// Until is when the promise expires, on the clock of the witness.
	Until time.Time
	// Released is set if the holder released the promise.
	Released bool
	// Mirrors is the latest mirror set received from a holder.
	Mirrors MirrorSet
}

// InForce reports whether claims of other instances are refused at now.
func (p Promise) InForce(now time.Time) bool {
	return p.Until.After(now)
}

// granted returns the promise after the claim of candidate was accepted.
func (p Promise) granted(candidate Instance, claim ShardClaim, until time.Time) Promise {
	p.Highest = claim.Token
	p.Holder = candidate
	p.Until = until
	p.Released = false
	if claim.Mirrors.Generation > p.Mirrors.Generation {
		p.Mirrors = claim.Mirrors
	}
	return p
}

// released returns the promise after its release. The release also counts as
// the claim itself, so that a claim that arrives after its own release is
// refused.
func (p Promise) released(candidate Instance, token Token, now time.Time) Promise {
	p.Highest = token
	p.Holder = candidate
	p.Until = now
	p.Released = true
	return p
}

// accepts reports whether a claim of candidate with token may be accepted at now.
func (p Promise) accepts(candidate Instance, token Token, now time.Time) bool {
	if token == p.Highest {
		return candidate == p.Holder && !p.Released
	}
	if token.Less(p.Highest) {
		return false
	}
	return candidate == p.Holder || !p.InForce(now)
}
