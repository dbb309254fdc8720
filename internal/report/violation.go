package report

// Violation is a claim that the evidence refutes.
type Violation struct {
	RequestID   string `json:"request_id"`
	Description string `json:"what"`
}
