package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const hotLength = 20 * time.Second

// slotsRate returns the requests/s that servers of 3 slots with the given speeds can run.
func slotsRate(speeds ...float64) float64 {
	sum := 0.0
	for _, s := range speeds {
		sum += s
	}
	return sum * 3 / meanWork.Seconds()
}

// hotKey is one hot key at an owner of the given speed, which gets the given multiple of
// what it can run.
func hotKey(speed, multiple float64) loadPattern {
	rate := multiple * slotsRate(speed)
	return loadPattern{
		keyed: true, speeds: []float64{speed}, ownerOf: func(int) int { return 0 }, length: hotLength,
		rate: func(time.Duration) float64 { return rate }, maxRate: rate,
		next: func(random *rand.Rand) (int, string) {
			if random.IntN(10) < 7 {
				return 77, ""
			}
			return random.IntN(2000), ""
		},
	}
}

// hotNeighbours is 60 hot neighbouring keys at 12 owners with speeds from 0.5 to 1.7, which
// get 1.15 times what they can run together, the slowest more than twice.
func hotNeighbours() loadPattern {
	var speeds []float64
	for i := range 12 {
		speeds = append(speeds, 0.5+1.2*float64(i)/11)
	}
	rate := 1.15 * slotsRate(speeds...)
	return loadPattern{
		keyed: true, speeds: speeds, ownerOf: func(key int) int { return key / 5 }, length: hotLength,
		rate: func(time.Duration) float64 { return rate }, maxRate: rate,
		next: func(random *rand.Rand) (int, string) { return random.IntN(60), "" },
	}
}

// burst is a service at 60% of its capacity whose load doubles or triples for 8 s.
func burst(keyed bool, peak float64) loadPattern {
	speeds := []float64{0.5, 0.8, 1, 1.1, 1.4, 1.7}
	capacity := slotsRate(speeds...)
	return loadPattern{
		keyed: keyed, speeds: speeds, ownerOf: func(key int) int { return key % 6 }, length: 24 * time.Second, maxRate: peak * capacity,
		rate: func(at time.Duration) float64 {
			if at >= 6*time.Second && at < 14*time.Second {
				return peak * capacity
			}
			return 0.6 * capacity
		},
		next: func(random *rand.Rand) (int, string) {
			n := random.Float64() * 6.5 // keys by the speed of their owner
			for i, s := range speeds {
				if n -= s; n < 0 {
					return i + 6*random.IntN(100), ""
				}
			}
			return 5, ""
		},
	}
}

// loudTeam is 79 teams of which one sends ten times its usual, so that the service gets the
// given multiple of what it can run.
func loudTeam(multiple float64) loadPattern {
	speeds := []float64{0.5, 0.6, 0.8, 0.9, 1, 1, 1.1, 1.2, 1.4, 1.7}
	rate := multiple * slotsRate(speeds...)
	return loadPattern{
		speeds: speeds, length: hotLength, rate: func(time.Duration) float64 { return rate }, maxRate: rate,
		next: func(random *rand.Rand) (int, string) {
			// Team 0 usually sends a third of all, as one of the few large ones.
			if random.Float64() < 10*0.33/(10*0.33+0.67) {
				return random.IntN(1000), "t0"
			}
			return random.IntN(1000), fmt.Sprint("t", 1+random.IntN(78))
		},
	}
}

// withTarget returns the pattern with another latency target.
func withTarget(p loadPattern, target time.Duration) loadPattern {
	p.target = target
	return p
}

// TestLoadPatterns reports what the callers of each load get. The bounds are in the tests
// of the single gains.
func TestLoadPatterns(t *testing.T) {
	for _, c := range []struct {
		name    string
		pattern loadPattern
	}{
		{"hot key, speed 0.5, 1.5x", hotKey(0.5, 1.5)},
		{"hot key, speed 1, 1.5x", hotKey(1, 1.5)},
		{"hot key, speed 1.7, 1.5x", hotKey(1.7, 1.5)},
		{"hot key, speed 1, 1.1x", hotKey(1, 1.1)},
		{"hot key, speed 1, 3x", hotKey(1, 3)},
		{"hot neighbours", hotNeighbours()},
		{"hot key, 600 ms", withTarget(hotKey(1, 1.5), 600*time.Millisecond)},
		{"hot key, 3 s", withTarget(hotKey(1, 1.5), 3*time.Second)},
		{"burst to 1.5x", burst(false, 1.5)},
		{"burst to 3x", burst(false, 3)},
		{"keyed burst to 1.5x", burst(true, 1.5)},
		{"keyed burst to 3x", burst(true, 3)},
		{"keyed burst, 600 ms", withTarget(burst(true, 2), 600*time.Millisecond)},
		{"keyed burst, 3 s", withTarget(burst(true, 2), 3*time.Second)},
		{"loud team", loudTeam(1.4)},
	} {
		r := replay(t, c.pattern, 3)
		t.Logf("%-25s %v", c.name, r.total)
		if len(r.teams) > 0 {
			t.Logf("%-25s %v", "  the loud team", r.teams["t0"])
			others := &loadResult{}
			for name, one := range r.teams {
				if name != "t0" {
					others.add(one)
				}
			}
			t.Logf("%-25s %v", "  the other teams", others)
		}
	}
}
