package kvstore

// leaseMessage is the request for a lease and the response to it.
type leaseMessage struct {
	Lease int64   `json:"lease,omitempty"`
	TTL   float64 `json:"ttl_s_time"`
}
