package gateway

// denial is the reason why a call is not authorized.
type denial uint8

// The reasons.
const (
	denialNone denial = iota
	// denialMissing means that the route needs a key and the caller shows none.
	denialMissing
	// denialMalformed means that the caller shows something that is no key.
	denialMalformed
	// denialUnknown means that no team has the key.
	denialUnknown
)

// String returns the name of the reason in logs and metrics.
func (d denial) String() string {
	switch d {
	case denialNone:
		return "none"
	case denialMissing:
		return "missing"
	case denialMalformed:
		return "malformed"
	case denialUnknown:
		return "unknown"
	}
	return "invalid"
}
