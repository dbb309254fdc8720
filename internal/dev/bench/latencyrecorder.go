package bench

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// The histogram covers 1 µs to 10 s with an error of at most 0.1 %.
const (
	lowestMicros      = 1
	highestMicros     = 10_000_000
	significantDigits = 3
)

// latencyRecorder collects the latencies and outcomes of one kind of request. It is safe
// for concurrent use.
type latencyRecorder struct {
	mu       sync.Mutex
	answered *hdrhistogram.Histogram
	outcomes map[string]int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{answered: hdrhistogram.New(lowestMicros, highestMicros, significantDigits), outcomes: map[string]int{}}
}

// add records a request. Only the latencies of answered requests enter the histogram,
// because fast refusals would lower the percentiles.
func (l *latencyRecorder) add(result string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[result]++
	if result == string(outcome.Answered) {
		_ = l.answered.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
	}
}

// counts returns how many requests were answered and how many were sent.
func (l *latencyRecorder) counts() (answered, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.outcomes {
		sent += n
	}
	return l.outcomes[string(outcome.Answered)], sent
}

// formatQuantiles returns p50, p99 and p99.9 in ms, separated by slashes.
func (l *latencyRecorder) formatQuantiles() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(quantile float64) float64 { return float64(l.answered.ValueAtQuantile(quantile)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", ms(50), ms(99), ms(99.9))
}
