package owners_test

import (
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// noiseInterval is how often the slowdown of a server changes.
	noiseInterval = 200 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdown by other workloads of the machine.
	minSlowdown, maxSlowdown = 0.8, 2.0
	// fullSlowdown is how much longer a request takes at some servers that are nearly full.
	fullSlowdown = 1.8
)

// loadServer is a backend server in virtual time: each slot runs one request, and further ones
// wait in order of arrival.
type loadServer struct {
	fleet.Server
	speed   float64
	running int
	waiting []*loadRequest
	// active holds the number of running and waiting requests by key.
	active   map[int]int
	random   *rand.Rand
	slowdown float64
	changeAt time.Time
	// slowsDown is whether the server slows down when it is nearly full.
	slowsDown bool
}

// fullFactor returns how much longer a request takes because of the others.
func (s *loadServer) fullFactor() float64 {
	if s.slowsDown && s.running >= s.Slots-1 {
		return fullSlowdown
	}
	return 1
}

// noise returns the slowdown at now.
func (s *loadServer) noise(now time.Time) float64 {
	if !now.Before(s.changeAt) {
		s.slowdown = minSlowdown + s.random.Float64()*(maxSlowdown-minSlowdown)
		s.changeAt = now.Add(noiseInterval)
	}
	return s.slowdown
}

// activeIn returns the number of requests for keys from first to last.
func (s *loadServer) activeIn(first, last int) int {
	n := 0
	for key, count := range s.active {
		if key >= first && key <= last {
			n += count
		}
	}
	return n
}
