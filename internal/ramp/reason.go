package ramp

// Reason is the observation from which a cold start was inferred.
type Reason string

// The reasons for which a server is considered cold.
const (
	ReasonNone        Reason = ""
	ReasonIncarnation Reason = "new-incarnation"
	ReasonReconnected Reason = "refused-then-accepted"
	ReasonSheds       Reason = "two-sheds-within-1s"
	ReasonLatency     Reason = "latency-above-4x-while-idle"
	ReasonAdded       Reason = "added"
	ReasonReturned    Reason = "domain-returned"
	ReasonTakeover    Reason = "takeover"
)
