package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histogram and number of significant digits.
const (
	maxLatency    = time.Hour
	latencyDigits = 3
)

// latencyCounter collects latencies in a histogram.
type latencyCounter struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyCounter() *latencyCounter {
	return &latencyCounter{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (c *latencyCounter) add(d time.Duration) {
	// The value is clamped to the range of the histogram, so this cannot fail.
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
