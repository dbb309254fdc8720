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

// maxLatency is the highest latency that the histogram tells apart.
const maxLatency = time.Minute

// Judge counts the outcomes and violations of a case.
func Judge(c Case) Verdict {
	runs := runsByID(c.Runs)
	latencies := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	verdict := Verdict{Sent: len(c.Records), TwoOwners: len(c.Overlaps), Unserved: unserved(c)}
	for _, record := range c.Records {
		verdict.count(record, runs[record.RequestID])
		if record.Final() == outcome.Answered {
			_ = latencies.RecordValue(min(record.Latency, maxLatency).Microseconds())
		}
	}
	verdict.RanTwice = ranTwice(c)
	verdict.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	verdict.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
	verdict.Incomplete = incomplete(c, runs)
	return verdict
}

func (v *Verdict) count(record *callers.Record, runs []runlog.Execution) {
	switch record.Final() {
	case outcome.Answered:
		v.Answered++
	case outcome.NotRun:
		v.NotRun++
	default:
		v.Unknown++
	}
	if record.Crossed() {
		v.Crossed++
	}
	if record.ClaimedNotRun() && len(runs) > 0 {
		v.FalseNotRun++
	}
}

func runsByID(runs []runlog.Execution) map[string][]runlog.Execution {
	byID := make(map[string][]runlog.Execution, len(runs))
	for _, run := range runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
	}
	return byID
}

// ranTwice counts the IDs with several runs that the caller, or a server, took
// for non-idempotent. A mark that was lost on the way does not hide a second run.
func ranTwice(c Case) int {
	exact := map[string]bool{}
	for _, record := range c.Records {
		if !record.Idempotent {
			exact[record.RequestID] = true
		}
	}
	count := map[string]int{}
	for _, run := range c.Runs {
		count[run.RequestID]++
		if !run.Idempotent {
			exact[run.RequestID] = true
		}
	}
	twice := 0
	for id, runs := range count {
		if runs > 1 && exact[id] {
			twice++
		}
	}
	return twice
}

// incomplete finds evidence that is not whole or contradicts itself: an
// answered request that no server ran, or probed keys that no server was ever
// granted, so that two owners could not have been seen.
func incomplete(c Case, runs map[string][]runlog.Execution) string {
	if c.Dropped > 0 {
		return fmt.Sprintf("%d runs or intervals did not fit", c.Dropped)
	}
	if len(c.ProbeKeys) > 0 && !granted(c) {
		return fmt.Sprintf("no server of %s was granted a key; are its servers keyed in the settings tree?", c.Probe)
	}
	missing := 0
	for _, record := range c.Records {
		if record.Final() == outcome.Answered && len(runs[record.RequestID]) == 0 {
			missing++
		}
	}
	if missing > 0 {
		return fmt.Sprintf("%d answered requests are not in the run log", missing)
	}
	return ""
}

func granted(c Case) bool {
	for _, interval := range c.Intervals {
		if interval.Service == c.Probe {
			return true
		}
	}
	return false
}

// unserved returns the longest time within From and To in which a probed key
// had no owner, or no answered run beyond the interval between probes.
func unserved(c Case) time.Duration {
	var longest time.Duration
	for _, name := range c.ProbeKeys {
		gap := ownership.LongestGap(c.Intervals, c.Probe, key.HashOf(name), c.From, c.To)
		longest = max(longest, gap, longestPause(c, name)-c.Interval)
	}
	return longest
}

// longestPause returns the longest time between answered runs of a key. Runs
// are ordered by start.
func longestPause(c Case, name string) time.Duration {
	var longest time.Duration
	last := c.From
	for _, run := range c.Runs {
		if run.Service != c.Probe || run.Key != name || !run.Answered || run.Start.Before(c.From) {
			continue
		}
		if run.Start.After(c.To) {
			break
		}
		longest = max(longest, run.Start.Sub(last))
		last = run.Start
	}
	return max(longest, c.To.Sub(last))
}
