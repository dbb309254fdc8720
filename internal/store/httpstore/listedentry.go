package httpstore

import "peridotmoor.org/peridotmoor/internal/store"

// ListedEntry is one element of the answer to a list call, in JSON; the value is base64.
type ListedEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Listed returns the encoded form of entries; it is never nil.
func Listed(entries []store.Entry) []ListedEntry {
	listed := make([]ListedEntry, 0, len(entries))
	for _, entry := range entries {
		listed = append(listed, ListedEntry{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
	}
	return listed
}

func entriesOf(listed []ListedEntry) []store.Entry {
	var entries []store.Entry
	for _, entry := range listed {
		entries = append(entries, store.Entry{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
	}
	return entries
}
