package kvstore

// put is the new value of a key.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty"`
}
