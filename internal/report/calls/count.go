package calls

// Count is how many calls of a service ended in the same way.
type Count struct {
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	// Reason is the first part of the detail, which names the kind of reason.
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
}
