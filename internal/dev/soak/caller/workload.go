package caller

import (
	"math/rand/v2"
	"time"
)

// keys are the keys of keyed requests, few and spread, so that each is requested often.
var keys = [...]int{3, 811, 5003, 9001, 14322, 18999, 23456, 29021, 33333, 38100, 41987, 45678, 50021, 55555, 60606, 65535}

// Keys returns the keys of keyed requests.
func Keys() []int {
	return keys[:]
}

// serviceTime draws the service time of a request: mostly milliseconds, at times
// seconds, and seldom close to the routes' timeout of 6 s.
func serviceTime(random *rand.Rand) time.Duration {
	low, high := 2*time.Millisecond, 60*time.Millisecond
	switch draw := random.IntN(100); {
	case draw < 2:
		low, high = 5500*time.Millisecond, 6500*time.Millisecond
	case draw < 12:
		low, high = 1500*time.Millisecond, 4500*time.Millisecond
	case draw < 30:
		low, high = 200*time.Millisecond, 1500*time.Millisecond
	}
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// slowResponseSize draws the length of a response to a slow caller. Those of a pipeline are
// together more than its kernel takes for it.
func slowResponseSize(random *rand.Rand) int {
	return 15_000 + random.IntN(15_000)
}

// responseSize draws the length of a response; some are longer than what an instance buffers.
func responseSize(random *rand.Rand) int {
	if random.IntN(12) == 0 {
		return 600 << 10
	}
	return 8 + random.IntN(3000)
}

// thresholds are lengths from which on an instance buffers, counts or streams otherwise.
var thresholds = [...]int{4 << 10, 16 << 10, 256 << 10, 512 << 10}

// thresholdSize draws a length around a threshold, or any length up to one above them.
func thresholdSize(random *rand.Rand) int {
	if random.IntN(3) == 0 {
		return 8 + random.IntN(900<<10)
	}
	at := thresholds[random.IntN(len(thresholds))]
	return at - at/8 + random.IntN(at/4)
}
