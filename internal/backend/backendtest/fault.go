package backendtest

// Fault names a failure that one request meets.
type Fault string

// The faults that the contract needs.
const (
	MismatchedResponse Fault = "crossed"
	NoID               Fault = "no-id"
	TruncatedBody      Fault = "short"
	NoLength           Fault = "no-length"
	ResetUnread        Fault = "reset-unread"
	ResetRun           Fault = "reset-run"
	ResetHeader        Fault = "reset-header"
	ResetBody          Fault = "reset-body"
	Plain503           Fault = "plain-503"
	MismatchedRefusal  Fault = "foreign-refusal"
	Hang               Fault = "hang"
)
