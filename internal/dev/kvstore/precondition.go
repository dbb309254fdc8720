package kvstore

// condition demands the revision of a key.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}
