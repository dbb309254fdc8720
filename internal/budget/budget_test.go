package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more retries than 10% of the requests plus 3/s, for any order of
// requests and failures, and against a budget that allows fewer.
func TestBudgetBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New()
		start := time.Now()
		now := start
		requests, allowed := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				requests++
				b.RecordRequest()
				continue
			}
			if b.TrySpend(now) {
				allowed++
			}
		}
		// The minimum rate starts with the 3 retries of one second available.
		bound := 0.1*float64(requests) + minRetryRate*now.Sub(start).Seconds() + minRetryRate
		if float64(allowed) > bound {
			rt.Fatalf("%d retries for %d requests in %v", allowed, requests, now.Sub(start))
		}
	})
	is := is.New(t)
	b := New()
	for range 100 {
		b.RecordRequest()
	}
	now := time.Now()
	for range 13 {
		is.True(b.TrySpend(now))
	}
	is.True(!b.TrySpend(now))
	is.Equal(b.Spent(), uint64(13))
	is.Equal(b.Denied(), uint64(1))
}

// Guards against an unlimited burst of accumulated retries after a long time without
// failures.
func TestSavedRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := New()
	for range 1_000_000 {
		b.RecordRequest()
	}
	now := time.Now()
	spent := 0
	for b.TrySpend(now) {
		spent++
	}
	is.Equal(spent, maxSavedRetries+minRetryRate)
}
