package kvstore

// transactionResponse is the revision of a change, or the items that broke its conditions.
type transactionResponse struct {
	Revision uint64 `json:"revision,omitempty"`
	Items    []item `json:"items,omitempty"`
}
