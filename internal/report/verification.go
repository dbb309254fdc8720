package report

// Verification is the result of Verify.
type Verification struct {
	// Sent counts the requests of the callers.
	Sent int `json:"sent"`
	// InRecords counts those with any record, and Partial those of them that
	// lack the conclusion of an attempt.
	InRecords int `json:"in_records"`
	Partial   int `json:"partial"`
	// NoRecord counts requests that may have reached an instance and have no record;
	// nothing is claimed about them.
	NoRecord int `json:"no_record"`
	// NeverSent counts requests without an attempt that may have reached an instance.
	NeverSent int `json:"never_sent"`
	// NotOfCallers counts requests that have records and are not in the callers' log.
	NotOfCallers int `json:"not_of_callers"`
	// Answered, NotRun and Unknown count the outcomes according to the records.
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`

	Violations []Violation `json:"violations"`
	// KnownMissing are requests whose missing records are explained by a gap in the
	// records of an instance. Unaccounted are those without such an explanation.
	KnownMissing []MissingRequest `json:"known_missing"`
	Unaccounted  []MissingRequest `json:"unaccounted"`
	// Losses describe the records that are known to be missing.
	Losses []string `json:"losses"`
	// Unchecked describes the checks that were not possible.
	Unchecked []string `json:"unchecked"`
}

func newVerification(sent int, losses []string) Verification {
	return Verification{Sent: sent, Losses: losses,
		Violations: []Violation{}, KnownMissing: []MissingRequest{}, Unaccounted: []MissingRequest{}, Unchecked: []string{}}
}

// OK reports whether there is no violation and every request is accounted for.
func (v Verification) OK() bool {
	return len(v.Violations) == 0 && len(v.Unaccounted) == 0 && len(v.Unchecked) == 0
}
