package backhttp

import "time"

const (
	// heldBytes is the longest answer that is held in memory before it is passed
	// on, in bytes. A shorter one can be proved whole first.
	heldBytes = 256 << 10
	// defaultIdle is how long an unused connection is kept when the server does
	// not say; common servers close after 5 s or more.
	defaultIdle = 4 * time.Second
	// idleShare is the part of the server's stated idle timeout that is used, so
	// that a request does not cross the server's close.
	idleShare = 0.7
	// unackedTimeout ends a connection whose bytes the peer does not acknowledge:
	// several round trips and retransmissions, and less than a request waits.
	unackedTimeout = 800 * time.Millisecond
	// readBuffer is the buffer of one connection in bytes; typical answers fit.
	readBuffer = 2048
	// strayAnswers is how many answers to earlier requests are discarded before
	// the connection is given up.
	strayAnswers = 3
)
