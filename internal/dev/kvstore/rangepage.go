package kvstore

// rangePage is one page of the items with a prefix.
type rangePage struct {
	Items []item `json:"items"`
	More  bool   `json:"more_pages"`
	// Revision is that of the whole store.
	Revision uint64 `json:"store_revision"`
}
