package choice

import "math/rand/v2"

// PowerOfTwo draws two of n servers at random ("power of two choices") and returns the
// index of the better one and that of the other. For n = 1 both are 0, for n < 1 both
// are -1.
func PowerOfTwo(rng *rand.Rand, n int, score func(int) Score) (best, other int) {
	if n < 1 {
		return -1, -1
	}
	if n == 1 {
		return 0, 0
	}
	first := rng.IntN(n)
	second := rng.IntN(n - 1)
	if second >= first {
		second++
	}
	if Better(score(second), score(first)) {
		return second, first
	}
	return first, second
}
