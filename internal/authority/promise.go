package authority

import "time"

// Promise is what a witness remembers about one shard. It is kept in memory
// only; a restarted process has another incarnation and is not asked for it.
type Promise struct {
	// Highest is the highest token accepted; no lower one is ever accepted.
	Highest Token
	// Holder is the instance whose claim was accepted with Highest.
	Holder Instance
	// Until is when the promise ends, on the clock of the witness.
	Until time.Time
	// Released reports that the holder gave the promise back.
	Released bool
	// Mirrors is the latest mirror set stated by a holder.
	Mirrors MirrorSet
}

// InForce reports whether claims of other instances are refused at now.
func (p Promise) InForce(now time.Time) bool {
	return p.Until.After(now)
}

// granted raises the promise to the claim of candidate.
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

// released ends the promise. It also stands for the claim itself, so that a claim
// that arrives after its own released is refused.
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
