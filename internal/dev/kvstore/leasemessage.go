package kvstore

// leaseCall asks for a lease and answers with it.
type leaseCall struct {
	Lease int64   `json:"lease,omitempty"`
	TTL   float64 `json:"ttl_s_time"`
}
