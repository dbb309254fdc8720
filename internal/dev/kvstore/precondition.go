package kvstore

// precondition requires that a key has this revision.
type precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}
