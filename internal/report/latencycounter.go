package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of latencies and their significant digits.
const (
	maxLatency    = time.Hour
	latencyDigits = 3
)

// latencyCounter collects latencies.
type latencyCounter struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyCounter() *latencyCounter {
	return &latencyCounter{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (c *latencyCounter) add(d time.Duration) {
	// The value is within the range, so it cannot fail.
	_ = c.histogram.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (c *latencyCounter) latencies() Latencies {
	at := func(percentile float64) time.Duration {
		return time.Duration(c.histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Latencies{
		Count: c.histogram.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   time.Duration(c.histogram.Max()) * time.Microsecond,
	}
}
