package backhttp

import "time"

const (
	// maxBufferedBytes is the longest answer that is held in memory before it is passed
	// on, in bytes. A shorter one can be proved whole first.
	maxBufferedBytes = 256 << 10
	// defaultIdleTimeout is how long an unused connection is kept when the server does
	// not say; common servers close after 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of the server's stated idle timeout that is used, so
	// that a request does not cross the server's close.
	idleTimeoutFraction = 0.7
	// unackedTimeout ends a connection whose bytes the peer does not acknowledge:
	// several round trips and retransmissions, and less than a request waits.
	unackedTimeout = 800 * time.Millisecond
	// readBufferBytes is the buffer of one connection in bytes; typical answers fit.
	readBufferBytes = 2048
	// maxUnmatchedResponses is how many answers to earlier requests are discarded before
	// the connection is given up.
	maxUnmatchedResponses = 3
)
