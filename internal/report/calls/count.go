package calls

// Count is the number of calls of a service with the same outcome and reason.
type Count struct {
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	// Reason is the first part of the detail, which names the kind of reason.
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
}
