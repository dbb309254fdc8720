package kvstore

// transactionRequest is a change under conditions.
type transactionRequest struct {
	Preconditions []precondition `json:"precondition"`
	Puts          []put          `json:"puts"`
}
