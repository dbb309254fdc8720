package authority

import "time"

// SetTiming takes over the durations that the settings hold. They change only
// while every service is out, because a witness and a holder each use their own.
func (n *Node) SetTiming(promiseTTL, renewInterval time.Duration) {
	n.timing.PromiseTTL = promiseTTL
	n.timing.RenewInterval = renewInterval
	n.witness.ttl = promiseTTL
	n.proofs.promiseExpiry = n.timing.ExpiredAfter()
}
