package kvstore

// changeAnswer is the revision of a change, or the items that broke its conditions.
type changeAnswer struct {
	Revision uint64 `json:"revision,omitempty"`
	Items    []item `json:"items,omitempty"`
}
