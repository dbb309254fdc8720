package usagecap

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// LocalBucket is the token bucket of one team at an instance that hears nothing from the
// holder. It is immutable, so that it can be shared behind an atomic pointer. The zero value
// belongs to a team of whose allowance the instance has not been told.
type LocalBucket struct {
	allowance Allowance
	tokens    float64
	// threshold, once drawn, is how many tokens admit a request: uniform in (0, 1], and the
	// same until the bucket is full below it, so that the number of requests differs by less
	// than one from the sum of the tokens.
	threshold float64
	drawn     bool
	// at is when tokens was computed, and toldAt when the allowance was told.
	at, toldAt time.Time
}

// Tell returns the bucket once the instance has been told an allowance.
// What the instance has used of an earlier allowance stays used.
func (b LocalBucket) Tell(now time.Time, allowance Allowance) LocalBucket {
	tokens := allowance.Tokens
	if b.valid(now) {
		tokens = min(tokens, b.refillTo(now, b.allowance).tokens)
	}
	b.allowance, b.tokens, b.at, b.toldAt = allowance, tokens, now, now
	return b
}

// valid reports whether the allowance may be used at now.
func (b LocalBucket) valid(now time.Time) bool {
	return b.allowance.told() && now.Sub(b.toldAt) < AllowanceTTL
}

// Holding returns what the instance holds by its allowance at now, or the zero value if it has
// none.
func (b LocalBucket) Holding(now time.Time, limit fleet.Cap) Holding {
	if !b.valid(now) {
		return Holding{}
	}
	return Holding{Part: b.allowance.Need, Tokens: b.refill(now, limit, 0).tokens}
}

// Take takes a token under the cap now in effect and returns the bucket after that, and
// whether the request is admitted. instances is their number, or 0 if it is unknown. random
// is uniform in [0, 1): less than one token admits a request with that probability, so that
// many instances with small parts keep the sum.
func (b LocalBucket) Take(now time.Time, limit fleet.Cap, instances int, random float64) (LocalBucket, bool) {
	b = b.refill(now, limit, instances)
	if !b.drawn {
		b.threshold, b.drawn = 1-random, true
	}
	if b.tokens >= min(b.threshold, minTokens) {
		b.tokens--
		return b, true
	}
	if capacity := b.current(now, limit, instances).Burst; b.tokens >= capacity {
		// The bucket is full and holds too little. As these tokens have had their draw, they
		// are used up, and the next ones get another one.
		b.tokens, b.drawn = 0, false
	}
	return b, false
}

// Peek returns the tokens at now and the probability with which Take would admit a request.
func (b LocalBucket) Peek(now time.Time, limit fleet.Cap, instances int) (tokens, chance float64) {
	b = b.refill(now, limit, instances)
	switch {
	case b.tokens >= minTokens || b.drawn && b.tokens >= b.threshold:
		return b.tokens, 1
	case b.drawn:
		return b.tokens, 0
	}
	return b.tokens, max(0, b.tokens)
}

// Return returns the bucket once a request that it admitted has provably not run.
func (b LocalBucket) Return(now time.Time, limit fleet.Cap, instances int) LocalBucket {
	b = b.refill(now, limit, instances)
	b.tokens = min(b.tokens+1, b.current(now, limit, instances).Burst)
	return b
}

// RetryAfter returns when a refused caller should come back. random, uniform in [0, 1),
// spreads the callers.
func (b LocalBucket) RetryAfter(now time.Time, limit fleet.Cap, instances int, random float64) time.Duration {
	rate := b.current(now, limit, instances).Rate
	delay := min(seconds(max(0, minTokens-b.tokens)/rate), maxLocalReturnDelay/2)
	return delay + time.Duration(random*float64(delay))
}

// refill returns the bucket at now.
func (b LocalBucket) refill(now time.Time, limit fleet.Cap, instances int) LocalBucket {
	if b.at.IsZero() {
		b.tokens, b.at = b.current(now, limit, instances).Burst, now
		return b
	}
	if start := b.toldAt.Add(refillDelay); b.valid(now) && b.at.Before(start) {
		if now.Before(start) {
			b.tokens = min(b.tokens, b.current(now, limit, instances).Burst)
			return b
		}
		b.at = start
	}
	if end := b.toldAt.Add(AllowanceTTL); b.valid(b.at) && !now.Before(end) {
		b = b.refillTo(end, b.allowance.under(limit))
	}
	return b.refillTo(now, b.current(now, limit, instances))
}

func (b LocalBucket) refillTo(now time.Time, use Allowance) LocalBucket {
	b.tokens = min(use.Burst, b.tokens+use.Rate*max(0, now.Sub(b.at).Seconds()))
	if now.After(b.at) {
		b.at = now
	}
	return b
}

// current returns what the instance may use at now: its allowance, or else its part of what
// instances without one use together.
func (b LocalBucket) current(now time.Time, limit fleet.Cap, instances int) Allowance {
	if b.valid(now) {
		return b.allowance.under(limit)
	}
	if instances <= 0 {
		instances = maxFleet
	}
	part := untoldShare / float64(instances)
	return Allowance{Rate: limit.Rate * part, Burst: burst(limit) * part}
}
