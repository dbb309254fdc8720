package hotkey

import (
	"math/rand/v2"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/key"
)

// requestsPerSample is the mean number of requests per sample. Sampling one request in 8
// avoids contention on the shared counter; a key with 1% of 5000 requests/s still yields
// about 6 samples per second.
const requestsPerSample = 8

// ringSize is the capacity for samples between two calls of Drain. It takes 32 KB per shard.
const ringSize = 4096

// Sampler collects samples of requested keys in a lock-free ring buffer. Observe may be
// called from several goroutines at a time, Drain from one.
type Sampler struct {
	written atomic.Uint64
	drained uint64
	ring    [ringSize]atomic.Uint64
}

// Observe is called for each request and samples one in requestsPerSample.
func (s *Sampler) Observe(h key.Hash) {
	if rand.Uint32()%requestsPerSample != 0 {
		return
	}
	position := s.written.Add(1) - 1
	s.ring[position%ringSize].Store(uint64(h))
}

// Drain passes the samples taken since the last call to add, at most the newest
// ringSize. For a sample that is being written while Drain reads, an older sample
// may be read instead, which distorts a count by one.
func (s *Sampler) Drain(add func(key.Hash)) {
	end := s.written.Load()
	begin := max(s.drained, end-min(end, ringSize))
	for position := begin; position < end; position++ {
		add(key.Hash(s.ring[position%ringSize].Load()))
	}
	s.drained = end
}
