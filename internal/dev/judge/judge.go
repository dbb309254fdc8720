package judge

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// maxLatency is the upper limit of the latency histogram; higher values are recorded as this one.
const maxLatency = time.Minute

// Evaluate counts the outcomes of the requests and the violations of invariants.
func Evaluate(in Input) Result {
	runs := runsByID(in.Runs)
	latencies := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	result := Result{Sent: len(in.Records), TwoOwners: len(in.Overlaps), Unserved: longestUnserved(in)}
	for _, record := range in.Records {
		result.count(record, runs[record.RequestID])
		if record.FinalOutcome() == outcome.Answered {
			_ = latencies.RecordValue(min(record.Latency, maxLatency).Microseconds())
		}
	}
	result.RanTwice = ranTwice(in)
	result.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
	result.IncompleteReason = incompleteReason(in, runs)
	return result
}

func (r *Result) count(record *callers.Record, runs []runlog.Execution) {
	switch record.FinalOutcome() {
	case outcome.Answered:
		r.Answered++
	case outcome.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	if record.HasMismatchedResponse() {
		r.MismatchedResponses++
	}
	if record.ClaimedNotRun() && len(runs) > 0 {
		r.FalseNotRun++
	}
}

func runsByID(runs []runlog.Execution) map[string][]runlog.Execution {
	byID := make(map[string][]runlog.Execution, len(runs))
	for _, run := range runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
	}
	return byID
}

// ranTwice counts the request IDs with several runs that the caller or a server
// treated as non-idempotent. Checking both sides finds a second run even if the
// idempotent mark was changed in transit.
func ranTwice(in Input) int {
	nonIdempotent := map[string]bool{}
	for _, record := range in.Records {
		if !record.Idempotent {
			nonIdempotent[record.RequestID] = true
		}
	}
	count := map[string]int{}
	for _, run := range in.Runs {
		count[run.RequestID]++
		if !run.Idempotent {
			nonIdempotent[run.RequestID] = true
		}
	}
	twice := 0
	for id, runs := range count {
		if runs > 1 && nonIdempotent[id] {
			twice++
		}
	}
	return twice
}

// incompleteReason reports evidence that is incomplete or contradicts itself:
// an answered request that no server ran, or probed keys that no server was ever
// granted, in which case two owners of a key could not be detected.
func incompleteReason(in Input, runs map[string][]runlog.Execution) string {
	if in.DroppedEvidence > 0 {
		return fmt.Sprintf("%d runs or intervals did not fit", in.DroppedEvidence)
	}
	if len(in.ProbeKeys) > 0 && !anyKeyGranted(in) {
		return fmt.Sprintf("no server of %s was granted a key; are its servers keyed in the settings tree?", in.ProbedService)
	}
	missing := 0
	for _, record := range in.Records {
		if record.FinalOutcome() == outcome.Answered && len(runs[record.RequestID]) == 0 {
			missing++
		}
	}
	if missing > 0 {
		return fmt.Sprintf("%d answered requests are not in the run log", missing)
	}
	return ""
}

func anyKeyGranted(in Input) bool {
	for _, interval := range in.Intervals {
		if interval.Service == in.ProbedService {
			return true
		}
	}
	return false
}

// longestUnserved returns the longest time between From and To in which a probed key
// had no owner, or in which it had no answered run, less the interval between probes.
func longestUnserved(in Input) time.Duration {
	var longest time.Duration
	for _, name := range in.ProbeKeys {
		gap := ownership.LongestGap(in.Intervals, in.ProbedService, key.HashOf(name), in.From, in.To)
		longest = max(longest, gap, longestRunGap(in, name)-in.ProbeInterval)
	}
	return longest
}

// longestRunGap returns the longest time between the starts of answered runs of a
// key. It relies on Runs being ordered by start.
func longestRunGap(in Input, name string) time.Duration {
	var longest time.Duration
	last := in.From
	for _, run := range in.Runs {
		if run.Service != in.ProbedService || run.Key != name || !run.Answered || run.Start.Before(in.From) {
			continue
		}
		if run.Start.After(in.To) {
			break
		}
		longest = max(longest, run.Start.Sub(last))
		last = run.Start
	}
	return max(longest, in.To.Sub(last))
}
