package hotkey

import (
	"math/rand/v2"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/key"
)

// requestsPerSample is the mean number of requests per sample. One in 8 keeps the
// shared counter off most requests; a key with 1% of 5000 requests/s still
// gives about 6 samples a second.
const requestsPerSample = 8

// ringSize bounds the samples between two calls of Drain: 32 KB per shard.
const ringSize = 4096

// Sampler collects samples of requested keys without a lock. Observe may be
// called from many goroutines, Drain from one.
type Sampler struct {
	written atomic.Uint64
	drained uint64
	ring    [ringSize]atomic.Uint64
}

// Observe takes a sample of one request in sampleEvery.
func (s *Sampler) Observe(h key.Hash) {
	if rand.Uint32()%requestsPerSample != 0 {
		return
	}
	position := s.written.Add(1) - 1
	s.ring[position%ringSize].Store(uint64(h))
}

// Drain passes the samples since the last call to add, at most the newest
// samplerSlots. A sample that is being written while Drain reads may be replaced
// by an older one, which distorts a count by one.
func (s *Sampler) Drain(add func(key.Hash)) {
	end := s.written.Load()
	begin := max(s.drained, end-min(end, ringSize))
	for position := begin; position < end; position++ {
		add(key.Hash(s.ring[position%ringSize].Load()))
	}
	s.drained = end
}
