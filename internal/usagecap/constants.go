package usagecap

import "time"

const (
	// countPeriod is half of the longest time over which the requests of a team are counted
	// to divide its cap among the instances.
	countPeriod = 5 * time.Second
	// AllowanceTTL is how long an instance uses an allowance after it was told of it.
	AllowanceTTL = 10 * time.Second
	// lostMargin is how much longer the holder takes a lost instance to use its allowance:
	// the verdict with the allowance may have arrived late, and clocks differ in speed.
	lostMargin = time.Second
	// refillDelay is how long after the last word of the holder an instance does without the
	// refill of its allowance: until the holder has noticed that a link has ended (1 s of
	// unacknowledged bytes), it uses the whole refill itself.
	refillDelay = time.Second
	// NewHolderDelay is how long a new holder leaves the parts of instances that have not
	// joined it to them: until the allowances that its predecessor told them have ended.
	NewHolderDelay = AllowanceTTL + lostMargin
	// priorRequests is how many requests each instance counts for besides those it has had,
	// so that the few requests of a small team do not leave most instances without a part.
	priorRequests = 1.0
	// untoldShare is the part of a cap that all instances together use which have no
	// allowance. It stays within tolerance beside a holder that uses the whole cap.
	untoldShare = 0.1
	// maxFleet stands for the number of instances where it is unknown. The largest
	// deployment has 89.
	maxFleet = 100
	// maxReturnDelay bounds the schedule of returns: callers wait 12 s at most and come back
	// within a third of the time that they have left.
	maxReturnDelay = 4 * time.Second
	// maxLocalReturnDelay bounds the delay that an instance without a holder suggests: the
	// next holder is elected by then.
	maxLocalReturnDelay = 2 * time.Second
	// window, toleranceRatio and toleranceRequests are those of the requirement: in any
	// window, rate x window + burst requests, a tenth more and 20.
	window            = 5 * time.Second
	toleranceRatio    = 0.1
	toleranceRequests = 20
	// spareRatio is the part of the tolerance that allowances add to the tokens and the
	// burst, since a burst divided among 90 instances leaves each of them with less than one
	// request. maxTokensRatio bounds the tokens of all allowances together by the tolerance,
	// because they may be used in addition to tokens that the holder has spent since it told
	// them.
	spareRatio     = 0.5
	maxTokensRatio = 0.8
	// minTokens is the number of tokens that admits a request. It is below 1 by more than
	// the rounding errors of many small refills.
	minTokens = 1 - 1e-9
)
