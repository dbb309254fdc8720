// Package judge compares what callers were told with what the backend server
// stand-ins ran. It is pure.
package judge

import (
	"fmt"
	"strings"
	"time"
)

// Result holds the counts of one load.
type Result struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int
	// TwoOwners counts ranges of keys that two servers owned at a time.
	TwoOwners int
	// MismatchedResponses counts requests that got an answer of another request or a part of one.
	MismatchedResponses int
	// FalseNotRun counts requests that were claimed not run on every attempt, and ran.
	FalseNotRun int
	// Unserved is the longest time that a key had no owner or no run.
	Unserved time.Duration
	P50      time.Duration
	P99      time.Duration
	// IncompleteReason says why the evidence is not whole; empty when it is.
	IncompleteReason string
}

// SummaryLine formats the counts as the last line of the demo.
func (v Result) SummaryLine() string {
	return fmt.Sprintf("demo: sent=%d answered=%d not_run=%d unknown=%d ran_twice=%d two_owners=%d crossed=%d"+
		" false_not_run=%d unserved_ms=%d p50_ms=%d p99_ms=%d",
		v.Sent, v.Answered, v.NotRun, v.Unknown, v.RanTwice, v.TwoOwners, v.MismatchedResponses,
		v.FalseNotRun, v.Unserved.Milliseconds(), v.P50.Milliseconds(), v.P99.Milliseconds())
}

// Violations returns one sentence for each invariant that the counts violate.
func (v Result) Violations() []string {
	var violations []string
	add := func(count int, format string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf(format, count))
		}
	}
	add(v.RanTwice, "%d non-idempotent requests ran more than once (I7)")
	add(v.TwoOwners, "%d key ranges had two owners at a time (I1)")
	add(v.MismatchedResponses, "%d requests got an answer that was another request's or not whole (I5)")
	add(v.FalseNotRun, "%d requests ran although every attempt was answered with not run (I6)")
	if v.IncompleteReason != "" {
		violations = append(violations, "the evidence is not whole: "+v.IncompleteReason)
	}
	return violations
}

// Err returns nil, or an error that lists the violations.
func (v Result) Err() error {
	violations := v.Violations()
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("judge: %s", strings.Join(violations, "; "))
}
