package placing

import (
	"fmt"
	"sort"
	"time"
)

// hedgeResult is what callers and servers of a hedgeReplay got.
type hedgeResult struct {
	requests, refused, hedges, won int
	times                          []time.Duration
	// busy is the time in which slots were in use, and wasted that of attempts without use.
	busy, wasted time.Duration
	slots        float64
}

func (r *hedgeResult) quantile(q float64) time.Duration {
	sort.Slice(r.times, func(i, j int) bool { return r.times[i] < r.times[j] })
	return r.times[int(q*float64(len(r.times)-1))]
}

func (r *hedgeResult) extraWork() float64 {
	return float64(r.wasted) / float64(r.busy-r.wasted)
}

func (r *hedgeResult) hedgeShare() float64 {
	return float64(r.hedges) / float64(r.requests)
}

// String returns a line of the table.
func (r *hedgeResult) String() string {
	ms := func(q float64) int64 { return r.quantile(q).Milliseconds() }
	return fmt.Sprintf("slots %2.0f%%, p50 %4d ms, p99 %5d ms, p99.9 %5d ms, hedges %4.1f%% (%2.0f%% won), extra work %5.2f%%, refused %.2f%%",
		100*r.slots, ms(0.5), ms(0.99), ms(0.999), 100*r.hedgeShare(), 100*float64(r.won)/float64(max(1, r.hedges)), 100*r.extraWork(), 100*float64(r.refused)/float64(r.requests))
}
