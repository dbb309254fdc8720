package kvstore

// transactionResponse is the revision of a write, or the items whose revisions did not meet the preconditions.
type transactionResponse struct {
	Revision uint64 `json:"revision,omitempty"`
	Items    []item `json:"items,omitempty"`
}
