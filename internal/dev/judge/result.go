// Package judge compares the outcomes that callers received with the run log of
// the backend server stand-ins. It does no I/O.
package judge

import (
	"fmt"
	"strings"
	"time"
)

// Result holds the counts of outcomes and violations of one load.
type Result struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int
	// TwoOwners counts key ranges that two servers owned at the same time.
	TwoOwners int
	// MismatchedResponses counts requests that received the response of another request or an incomplete one.
	MismatchedResponses int
	// FalseNotRun counts requests that ran although every attempt was answered with "not run".
	FalseNotRun int
	// Unserved is the longest time in which a probed key had no owner or no answered run.
	Unserved time.Duration
	P50      time.Duration
	P99      time.Duration
	// IncompleteReason says why the evidence is incomplete; empty if it is complete.
	IncompleteReason string
}

// SummaryLine formats the counts as the last line that the demo prints.
func (r Result) SummaryLine() string {
	return fmt.Sprintf("demo: sent=%d answered=%d not_run=%d unknown=%d ran_twice=%d two_owners=%d crossed=%d"+
		" false_not_run=%d unserved_ms=%d p50_ms=%d p99_ms=%d",
		r.Sent, r.Answered, r.NotRun, r.Unknown, r.RanTwice, r.TwoOwners, r.MismatchedResponses,
		r.FalseNotRun, r.Unserved.Milliseconds(), r.P50.Milliseconds(), r.P99.Milliseconds())
}

// Violations returns one sentence for each violated invariant, and one if the evidence is incomplete.
func (r Result) Violations() []string {
	var violations []string
	add := func(count int, format string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf(format, count))
		}
	}
	add(r.RanTwice, "%d non-idempotent requests ran more than once (I7)")
	add(r.TwoOwners, "%d key ranges had two owners at a time (I1)")
	add(r.MismatchedResponses, "%d requests got an answer that was another request's or not whole (I5)")
	add(r.FalseNotRun, "%d requests ran although every attempt was answered with not run (I6)")
	if r.IncompleteReason != "" {
		violations = append(violations, "the evidence is not whole: "+r.IncompleteReason)
	}
	return violations
}

// Err returns nil, or an error that lists the violations.
func (r Result) Err() error {
	violations := r.Violations()
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("judge: %s", strings.Join(violations, "; "))
}
