package memstore

import "peridotmoor.org/peridotmoor/internal/store"

// record is the stored value of a key.
type record struct {
	value    []byte
	revision uint64
	lease    store.LeaseID
}

func (r record) entry(key string) store.Entry {
	return store.Entry{Key: key, Value: append([]byte(nil), r.value...), Revision: r.revision}
}
