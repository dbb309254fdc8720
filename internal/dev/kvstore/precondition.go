package kvstore

// precondition demands the revision of a key.
type precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}
