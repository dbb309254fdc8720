package kvstore

// leaseMessage asks for a lease and answers with it.
type leaseMessage struct {
	Lease int64   `json:"lease,omitempty"`
	TTL   float64 `json:"ttl_s_time"`
}
