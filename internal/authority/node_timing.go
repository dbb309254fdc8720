package authority

import "time"

// SetTiming applies the durations from the settings. They change only while all
// services are taken out of service, because a witness and a holder each use
// their own copy.
func (n *Node) SetTiming(promiseTTL, renewInterval time.Duration) {
	n.timing.PromiseTTL = promiseTTL
	n.timing.RenewInterval = renewInterval
	n.witness.ttl = promiseTTL
	n.proofs.promiseExpiry = n.timing.ExpiredAfter()
}
