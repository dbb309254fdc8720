package check

import "time"

// The bounds of the platform's pages.
const (
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod = 6 * time.Second
	// stableWindow is how long after an impairment a machine or the store is not held to time bounds.
	stableWindow = 3 * time.Second
	// stopWindow is how long after SIGTERM a cut-off request counts against a planned stop.
	stopWindow = GracePeriod + time.Second
	// lateStart is how long after SIGTERM a request was sent that must be answered
	// however long it takes, and lastPart the part of the grace period at its end in
	// which a request that was sent earlier may be cut off.
	lateStart = 3 * time.Second
	lastPart  = GracePeriod / 6
	// configDeadline is the time from the acceptance of a configuration until it is in effect.
	configDeadline = 2 * time.Second
	// rollbackSlack is how long after a configuration was seen in effect a request may
	// still be handled by an older one; on an impaired machine it is slowRollbackSlack.
	rollbackSlack     = 250 * time.Millisecond
	slowRollbackSlack = 8 * rollbackSlack
	// thawSlack is how long after an impairment a grant that arrives does not count for ownership.
	thawSlack = 300 * time.Millisecond
	// RecoveryTime is how long after the last fault everything must be served again.
	RecoveryTime = 15 * time.Second
	// maxCut is how many requests one machine may cut off outside planned stops.
	maxCut = 3
	// maxDenied and deniedShare limit the proper requests that are rejected.
	maxDenied   = 5
	deniedShare = 500
	// leavingTime is how long after an instance has passed on that a server is leaving it
	// may still send it requests.
	leavingTime = 2 * time.Second
	// domainOutTime is how long after the store has accepted that a failure domain is taken out its
	// servers may still get requests, and domainBackTime how long after the end they get some again.
	domainOutTime  = 5 * time.Second
	domainBackTime = 5 * time.Second
	// pauseDelay is how long after a refusal that asks for a pause, or after a response
	// that names a limit, an instance need not keep to it. pauseSlack requests may reach
	// the server during the pause.
	pauseDelay = 500 * time.Millisecond
	pauseSlack = 2
	// Of a server's limit, limitRatio times plus limitSlack requests may reach it in any
	// limitWindow, from stableWindow after it first named it.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// timeoutMargin is how much before its timeout a request counts as having reached
	// it, as the answer needs time for its way back.
	timeoutMargin = 100 * time.Millisecond
)
