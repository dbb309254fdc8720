package report

// MissingRequest is a request whose records are missing in whole or in part.
type MissingRequest struct {
	RequestID string `json:"request_id"`
	// Description says what is missing.
	Description string `json:"what"`
	// Instance is where the missing records were lost; empty when that is not known.
	Instance string `json:"instance,omitempty"`
}
