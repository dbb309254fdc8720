package backhttp

import "time"

const (
	// maxBufferedBytes is the size of the longest response body that is buffered
	// completely. Such a response is passed on only once it is known to be complete.
	maxBufferedBytes = 256 << 10
	// maxHeadBytes limits the head of a response, together with the interim responses
	// before it. It is far above the heads that servers send, which are below 1 KB.
	maxHeadBytes = 32 << 10
	// headCostBytes is the memory that a head of maxHeadBytes may take once it is parsed:
	// up to 150 bytes for each header line of 6 bytes.
	headCostBytes = 25 * maxHeadBytes
	// smallHeadBytes and smallBodyBytes are how much of a response is read without memory
	// from the account. They cover usual responses, and take up to 50 KB and 32 KB once parsed
	// or copied, times the several hundred responses that an instance awaits at a time.
	smallHeadBytes = 2 << 10
	smallBodyBytes = 16 << 10
	// copyBufferBytes is the buffer through which a body is streamed: that of io.Copy.
	copyBufferBytes = 32 << 10
	// uncountedBodyBytes is the length up to which a body is part of what a request holds
	// in any case.
	uncountedBodyBytes = 2 << 10
	// bufferedCopies is how often a buffered body is in memory while it is passed on.
	bufferedCopies = 2
	// defaultIdleTimeout is how long an idle connection is kept when the server does
	// not state its own timeout. Common servers close idle connections after 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the server's stated idle timeout after
	// which a connection is no longer reused. The margin avoids sending a request while
	// the server closes the connection.
	idleTimeoutFraction = 0.7
	// unackedTimeout ends a connection whose peer does not acknowledge sent bytes. It
	// allows for several round trips and retransmissions and is shorter than the time
	// that a request waits.
	unackedTimeout = 800 * time.Millisecond
	// longBodyBytes is the length of a body from which on its write may take a while. Shorter ones
	// fit into the buffers of the kernel.
	longBodyBytes = 16 << 10
	// windowInterval is how often the window of a server is looked at while a request is
	// delivered: before the first probe of a closed window, with which the kernel looks at its
	// timeout.
	windowInterval = 100 * time.Millisecond
	// ackTimeout is how long an acknowledgement may take to arrive.
	ackTimeout = 100 * time.Millisecond
	// lostProbes is how many probes of a closed window in a row have no answer if the server is
	// gone. A living Linux answers two a second, and the second probe may come sooner.
	lostProbes = 3
	// deliveryInterval is how often one looks whether a server has acknowledged a request.
	deliveryInterval = 20 * time.Millisecond
	// deliveryStall is how long a server that has answered with success may take nothing of the
	// rest of its request after the deadline. A receiver that reads 1 KB/s may tell of it only
	// every few seconds.
	deliveryStall = 10 * time.Second
	// deliveryLimit bounds the delivery after the deadline to a server that takes little at a time.
	deliveryLimit = 60 * time.Second
	// resetWait is how long a new connection waits for its reset, which follows the
	// acceptance: longer than a server and the network take for both within a region.
	resetWait = 3 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer; typical responses fit.
	readBufferBytes = 2048
	// maxUnmatchedResponses is how many responses to earlier requests are discarded
	// before the connection is closed.
	maxUnmatchedResponses = 3
)
