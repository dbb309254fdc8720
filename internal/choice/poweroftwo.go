package choice

import "math/rand/v2"

// PowerOfTwo returns the better of two servers drawn at random from n, as an index, and
// the other one. For n = 1 both are 0; for n < 1 both are -1.
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
