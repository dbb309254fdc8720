package fleet

import "time"

// Route determines how requests for one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response has its full value to the caller.
	LatencyTarget time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of backend servers to which one request may be sent.
	MaxAttempts int
	// AllowAnonymous lets callers use the route without a key.
	AllowAnonymous bool
	// Shares is never empty.
	Shares []TrafficShare
}

// goldenRatio spreads successive positions evenly, so that each share receives its
// weight already over a few requests.
const goldenRatio = 0.6180339887498949

// SelectService returns the service that runs the nth request of the route.
func (r *Route) SelectService(n uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	position := float64(n) * goldenRatio
	position = (position - float64(uint64(position))) * total
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
