package placing

import "time"

// bucket is a token bucket. It starts empty, since a predecessor may have spent tokens just now.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	if !b.at.IsZero() {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// take spends one token if there is one.
func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.refill(now, rate, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
