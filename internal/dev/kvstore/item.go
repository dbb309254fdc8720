package kvstore

import "peridotmoor.org/peridotmoor/internal/store"

// item is one key with its value, as encoded on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func itemOf(e store.Entry) item {
	return item{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
