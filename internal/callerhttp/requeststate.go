package callerhttp

import "sync/atomic"

// requestState counts the requests of a connection that are in progress and says whether
// one is being read and whether further ones are accepted. All are in one atomic word, so
// that no request can start between the decision that a response is the last one and its
// announcement, and an idle close can't be requested while a request is being read.
type requestState struct {
	word atomic.Uint64
}

const (
	// sealedBit is set once no further request is accepted.
	sealedBit uint64 = 1 << 63
	// readingBit is set from the first byte of a request to its last.
	readingBit uint64 = 1 << 62
	// closeRequestedBit is set once the connection is to be closed as it was found idle.
	closeRequestedBit uint64 = 1 << 61
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
	return s.word.Add(^uint64(0))&(sealedBit|countMask) == sealedBit
}

// beginReading records that a request has begun to arrive, which prevents the request for
// an idle close. It reports whether that came first.
func (s *requestState) beginReading() bool {
	return s.word.Or(readingBit)&closeRequestedBit != 0
}

// endReading records that the request and its body have been read.
func (s *requestState) endReading() {
	s.word.And(^readingBit)
}

// isIdle reports whether requestClose can succeed.
func (s *requestState) isIdle() bool {
	return s.word.Load() == 0
}

// requestClose requests an idle close. It fails if a request is in progress or is being
// read, if no further request is accepted, or if the close has been requested before.
func (s *requestState) requestClose() bool {
	return s.word.CompareAndSwap(0, closeRequestedBit)
}

// closeRequested reports whether an idle close has been requested.
func (s *requestState) closeRequested() bool {
	return s.word.Load()&closeRequestedBit != 0
}

// ends reports whether the connection is to end after the requests in progress.
func (s *requestState) ends() bool {
	return s.word.Load()&(sealedBit|closeRequestedBit) != 0
}

// inProgress returns the number of requests in progress.
func (s *requestState) inProgress() int {
	return int(s.word.Load() & countMask)
}
