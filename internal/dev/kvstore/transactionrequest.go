package kvstore

// transactionRequest is a write that depends on preconditions.
type transactionRequest struct {
	Preconditions []precondition `json:"precondition"`
	Puts          []put          `json:"puts"`
}
