package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and resolution of latencies, in microseconds.
const (
	maxLatency    = time.Hour
	latencyDigits = 3
)

// Latencies are percentiles of the time from the first arrival of a request at
// an entry instance to its answer, sendings by its caller again included.
type Latencies struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

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
