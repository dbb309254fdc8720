package kvstore

// rangePage is one page of a range.
type rangePage struct {
	Items []item `json:"items"`
	More  bool   `json:"more_pages"`
	// Revision is the store's at the time of the answer.
	Revision uint64 `json:"store_revision"`
}
