// Package budget limits retries and hedges to a share of the requests, so that
// they cannot multiply the load of an outage. It is pure.
package budget

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// requestsPerRetry is the number of requests that earn one retry or hedge: 10%.
	requestsPerRetry = 10
	// minRetryRate is what a service with few requests may retry, in retries/s.
	minRetryRate = 3
	// maxSavedRetries bounds what quiet times save up, in retries: a burst after an hour
	// without failures must not double the load.
	maxSavedRetries = 100
)

// Budget is shared by the retries and hedges of one service at one instance.
type Budget struct {
	// credit counts requests not yet spent; requestsPerRetry of them buy one retry.
	credit  atomic.Int64
	minRate *rate.Limiter
	spent   atomic.Uint64
	denied  atomic.Uint64
}

// New returns a budget with the floor filled.
func New() *Budget {
	return &Budget{minRate: rate.NewLimiter(minRetryRate, minRetryRate)}
}

// RecordRequest counts one request that was admitted for the first time.
func (b *Budget) RecordRequest() {
	if b.credit.Load() < maxSavedRetries*requestsPerRetry {
		b.credit.Add(1)
	}
}

// TrySpend reports whether one retry or hedge is allowed at now, and takes it.
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

// Spent returns how many retries and hedges were allowed.
func (b *Budget) Spent() uint64 {
	return b.spent.Load()
}

// Denied returns how many retries and hedges were refused.
func (b *Budget) Denied() uint64 {
	return b.denied.Load()
}
