package placing

// Reason says why an attempt was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoServer means that the service has no usable server.
	ReasonNoServer
	// ReasonOverload means that load prevents the request from being served in time.
	ReasonOverload
	// ReasonRetryBudget means that the retry budget of the service is used up.
	ReasonRetryBudget
	// ReasonNoOwner means that the key will not have an owner in time.
	ReasonNoOwner
	// ReasonCold means that the key's owner is cold and its request rate is used up.
	ReasonCold
	// ReasonCrashes means that servers that ran the request have crashed.
	ReasonCrashes
	// ReasonNoHolder means that no holder can be reached.
	ReasonNoHolder
	// ReasonPaused means that the servers that could run the request want no requests
	// from its instance for now.
	ReasonPaused
	// ReasonLimit means that the rate limit that the key's owner names is used up.
	ReasonLimit
	// ReasonTeamCap means that the usage cap of the caller's team is used up.
	ReasonTeamCap
)

// String returns the name of the reason in logs.
func (r Reason) String() string {
	names := [...]string{"none", "no-server", "overload", "retry-budget", "no-owner", "cold", "crashes", "no-holder", "paused", "limit", "team-cap"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
