package kvstore

// itemsPage is one page of a range.
type itemsPage struct {
	Items []item `json:"items"`
	More  bool   `json:"more_pages"`
}
