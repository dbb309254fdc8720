package callerhttp

import "sync/atomic"

// requestState counts the requests of a connection that are in progress and says whether
// further ones are accepted. Both are in one atomic word, so that no request can start
// between the decision that a response is the last one and its announcement.
type requestState struct {
	word atomic.Uint64
}

const (
	// sealedBit is set once no further request is accepted.
	sealedBit uint64 = 1 << 63
	// countMask selects the number of requests in progress.
	countMask uint64 = 1<<32 - 1
)

// start counts one more request as in progress. It returns false, and changes nothing,
// if no further request is accepted.
func (s *requestState) start() bool {
	for {
		old := s.word.Load()
		if old&sealedBit != 0 {
			return false
		}
		if s.word.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// seal makes start fail from now on and returns the number of requests in progress.
func (s *requestState) seal() int {
	return int(s.word.Or(sealedBit) & countMask)
}

// finish ends one request in progress. It reports whether it was the last one that the
// connection can have.
func (s *requestState) finish() bool {
	return s.word.Add(^uint64(0)) == sealedBit
}

// sealed reports whether no further request is accepted.
func (s *requestState) sealed() bool {
	return s.word.Load()&sealedBit != 0
}

// inProgress returns the number of requests in progress.
func (s *requestState) inProgress() int {
	return int(s.word.Load() & countMask)
}
