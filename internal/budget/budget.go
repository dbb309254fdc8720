// Package budget implements a retry budget: it limits retries and hedges to a share of
// the requests, so that they cannot multiply the load during an outage. It does no I/O
// and reads no clock.
package budget

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// requestsPerRetry is the number of requests that allow one retry or hedge: retries
	// are at most 10% of the requests.
	requestsPerRetry = 10
	// minRetryRate is the rate of retries, in retries/s, that is allowed in addition, so that
	// services with few requests can retry.
	minRetryRate = 3
	// maxSavedRetries limits the unused retries that accumulate: a burst of retries after
	// an hour without failures must not double the load.
	maxSavedRetries = 100
)

// Budget is the retry budget of one service at one instance. Retries and hedges share it.
type Budget struct {
	// credit is the number of requests not yet used up by retries; a retry uses
	// requestsPerRetry of them.
	credit  atomic.Int64
	minRate *rate.Limiter
	spent   atomic.Uint64
	denied  atomic.Uint64
}

// New returns a budget from which the retries of the minimum rate for one second are
// available at once.
func New() *Budget {
	return &Budget{minRate: rate.NewLimiter(minRetryRate, minRetryRate)}
}

// RecordRequest counts one request that was admitted for the first time, which is no retry.
func (b *Budget) RecordRequest() {
	if b.credit.Load() < maxSavedRetries*requestsPerRetry {
		b.credit.Add(1)
	}
}

// TrySpend reports whether one retry or hedge is allowed at now, and charges it if so.
func (b *Budget) TrySpend(now time.Time) bool {
	if b.spendCredit() || b.minRate.AllowN(now, 1) {
		b.spent.Add(1)
		return true
	}
	b.denied.Add(1)
	return false
}

func (b *Budget) spendCredit() bool {
	for {
		old := b.credit.Load()
		if old < requestsPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(old, old-requestsPerRetry) {
			return true
		}
	}
}

// Spent returns the number of retries and hedges that were allowed.
func (b *Budget) Spent() uint64 {
	return b.spent.Load()
}

// Denied returns the number of retries and hedges that were denied.
func (b *Budget) Denied() uint64 {
	return b.denied.Load()
}
