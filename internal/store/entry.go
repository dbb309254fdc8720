package store

// Entry is a key with its value at a revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision increases with each write of the key; 0 means that the key does not exist.
	Revision uint64
}
