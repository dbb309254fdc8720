package usagecap

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// takeMany counts the requests admitted of the given number.
func takeMany(b *LocalBucket, now time.Time, limit fleet.Cap, instances, count int, random *rand.Rand) int {
	n := 0
	for range count {
		var admitted bool
		if *b, admitted = b.Take(now, limit, instances, random.Float64()); admitted {
			n++
		}
	}
	return n
}

// Guards against many instances with less than a request each that admit none, or one each.
func TestSmallPartsAddUp(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limit := fleet.Cap{Rate: 1, Burst: 1}
	sum := 0
	for range 1000 {
		var b LocalBucket
		b = b.Tell(modelStart, Allowance{Rate: 0.01, Tokens: 0.1, Burst: 0.1, Part: 0.01})
		sum += takeMany(&b, modelStart, limit, 1000, 50, random)
	}
	is.True(sum > 65 && sum < 135)
}

// Guards against an allowance that is used for longer than the holder reckons with, and
// against an instance that uses more than its tenth before it is told of one.
func TestAllowanceExpires(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limit := fleet.Cap{Rate: 100, Burst: 100}
	var b LocalBucket
	is.Equal(takeMany(&b, modelStart, limit, 2, 100, random), 5) // a tenth of the burst, halved
	b = LocalBucket{}.Tell(modelStart, Allowance{Rate: 50, Tokens: 10, Burst: 50, Part: 0.5})
	is.Equal(takeMany(&b, modelStart, limit, 2, 100, random), 10)
	is.Equal(takeMany(&b, modelStart.Add(refillDelay), limit, 2, 100, random), 0) // the holder may use the refill
	is.Equal(takeMany(&b, modelStart.Add(refillDelay+time.Second), limit, 2, 100, random), 50)
	now := modelStart.Add(AllowanceTTL)
	is.True(takeMany(&b, now, limit, 2, 100, random) <= 5)
	n := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		n += takeMany(&b, now, limit, 2, 10, random)
	}
	is.True(n >= 45 && n <= 55) // 5/s for 10 s
}

// Guards against an instance that fills its bucket by turning to the holder and away again.
func TestToldAllowanceDoesNotRefillWhatWasUsed(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limit := fleet.Cap{Rate: 100, Burst: 100}
	var b LocalBucket
	n, now := 0, modelStart
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		b = b.Tell(now, Allowance{Rate: 10, Tokens: 20, Burst: 20, Part: 0.1})
		n += takeMany(&b, now, limit, 10, 5, random)
	}
	is.True(n <= 32) // 20, and 10/s
}

// Guards against a lowered cap that an instance without a holder learns of but does not keep.
func TestLoweredCapBindsTheLocalBucket(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	b := LocalBucket{}.Tell(modelStart, Allowance{Rate: 50, Tokens: 200, Burst: 500, Part: 0.5})
	is.True(takeMany(&b, modelStart.Add(time.Millisecond), fleet.Cap{Rate: 1, Burst: 1}, 2, 1000, random) <= 6)
}
