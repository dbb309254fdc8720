package store

// Entry is one key with its value at one revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision rises with each change of the key; 0 means that the key does not exist.
	Revision uint64
}
