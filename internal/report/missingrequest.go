package report

// MissingRequest is a request for which all or some records are missing.
type MissingRequest struct {
	RequestID string `json:"request_id"`
	// Description says what is missing.
	Description string `json:"what"`
	// Instance is the instance that lost the records; empty when it is not known.
	Instance string `json:"instance,omitempty"`
}
