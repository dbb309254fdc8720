package system

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

const (
	// maxReportedOverlaps limits how many overlaps of owners are traced.
	maxReportedOverlaps = 3
	// overlapContext is how long before and after an overlap the records are reported.
	overlapContext = 3 * time.Second
)

// recordTime finds the time of a record.
var recordTime = regexp.MustCompile(`"at":"([^"]+)"`)

// reportOverlaps logs what is needed to trace the first overlaps: the ownership of the two
// servers, and what the instances recorded about the shards of the service around that time.
func (c *cluster) reportOverlaps(t *testing.T, evidence servers.Recording) {
	t.Helper()
	for _, overlap := range evidence.Overlaps[:min(len(evidence.Overlaps), maxReportedOverlaps)] {
		t.Logf("overlap %+v", overlap)
		for _, interval := range evidence.Intervals {
			if isPartOf(interval, overlap) {
				t.Logf("  %s owned %s from %s until %s", interval.Server, interval.Range,
					interval.From.Format(time.RFC3339Nano), interval.Until.Format(time.RFC3339Nano))
			}
		}
	}
	if len(evidence.Overlaps) > 0 {
		c.reportRecords(t, evidence.Overlaps[0])
	}
}

// isPartOf reports whether the interval is that of an owner in the overlap.
func isPartOf(interval ownership.Interval, overlap ownership.Overlap) bool {
	return interval.Service == overlap.Service && (interval.Server == overlap.First || interval.Server == overlap.Second) &&
		interval.Range.Contains(overlap.Range.Start)
}

// reportRecords logs the records of all instances about shards of the overlap's service.
func (c *cluster) reportRecords(t *testing.T, overlap ownership.Overlap) {
	t.Helper()
	for _, i := range c.instances {
		text, err := os.ReadFile(i.config.Records.Path)
		requireNoError(t, err)
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"shard":"`+overlap.Service+"/") {
				continue
			}
			found := recordTime.FindStringSubmatch(line)
			if found == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, found[1])
			if err == nil && at.Sub(overlap.At).Abs() <= overlapContext {
				t.Logf("  %s: %s", i.config.Instance.Name, strings.TrimSpace(line))
			}
		}
	}
}
