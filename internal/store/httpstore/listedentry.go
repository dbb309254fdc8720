package httpstore

import "peridotmoor.org/peridotmoor/internal/store"

// ListedEntry is one element of the JSON response to a list call. The value is encoded
// in base64.
type ListedEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Listed converts entries for a JSON response. The result is never nil.
func Listed(entries []store.Entry) []ListedEntry {
	listed := make([]ListedEntry, 0, len(entries))
	for _, entry := range entries {
		listed = append(listed, ListedEntry{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
	}
	return listed
}

func toEntries(listed []ListedEntry) []store.Entry {
	var entries []store.Entry
	for _, entry := range listed {
		entries = append(entries, store.Entry{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
	}
	return entries
}
