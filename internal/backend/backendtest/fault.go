package backendtest

// Fault is a failure that the server injects into one request.
type Fault string

// Faults that the contract cases use.
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
