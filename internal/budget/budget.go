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
	// floorRate is what a service with few requests may retry, in retries/s.
	floorRate = 3
	// maxEarned bounds what quiet times save up, in retries: a burst after an hour
	// without failures must not double the load.
	maxEarned = 100
)

// Budget is shared by the retries and hedges of one service at one instance.
type Budget struct {
	// earned counts requests not yet spent; requestsPerRetry of them buy one retry.
	earned atomic.Int64
	floor  *rate.Limiter
	spent  atomic.Uint64
	denied atomic.Uint64
}

// New returns a budget with the floor filled.
func New() *Budget {
	return &Budget{floor: rate.NewLimiter(floorRate, floorRate)}
}

// RecordRequest counts one request that was admitted for the first time.
func (b *Budget) RecordRequest() {
	if b.earned.Load() < maxEarned*requestsPerRetry {
		b.earned.Add(1)
	}
}

// TrySpend reports whether one retry or hedge is allowed at now, and takes it.
func (b *Budget) TrySpend(now time.Time) bool {
	if b.spendEarned() || b.floor.AllowN(now, 1) {
		b.spent.Add(1)
		return true
	}
	b.denied.Add(1)
	return false
}

func (b *Budget) spendEarned() bool {
	for {
		old := b.earned.Load()
		if old < requestsPerRetry {
			return false
		}
		if b.earned.CompareAndSwap(old, old-requestsPerRetry) {
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
