package placing

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoServer means that no server of the service may be used.
	ReasonNoServer
	// ReasonOverload means that the request cannot be served in time.
	ReasonOverload
	// ReasonRetryBudget means that the service has had its share of retries.
	ReasonRetryBudget
	// ReasonNoOwner means that the key has no owner in time.
	ReasonNoOwner
	// ReasonCold means that the key's owner is cold and has its share of requests.
	ReasonCold
	// ReasonCrashes means that the request took down the servers that ran it.
	ReasonCrashes
	// ReasonNoHolder means that no instance decides at the moment.
	ReasonNoHolder
)

// String returns the name of the reason in logs.
func (r Reason) String() string {
	names := [...]string{"none", "no-server", "overload", "retry-budget", "no-owner", "cold", "crashes", "no-holder"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
