package placing

import "time"

// tokenBucket is a token bucket. It starts empty, since an earlier holder may just
// have spent tokens for the same server.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if !b.at.IsZero() {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// take removes a token and reports whether there was one.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	b.refill(now, rate, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
