package kvstore

// put writes a key.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty"`
}
