package callerhttp

import "time"

const (
	// pipelineDepth limits the concurrent requests of one connection, so that a single
	// caller cannot exhaust memory.
	pipelineDepth = 32
	// stallTimeout ends a connection whose caller does not read the response. Progress is
	// checked stallChecks times in it. The kernel of a caller that reads 1 KB/s tells of it
	// only after up to two segments, which have 64 KB on loopback: 10 s and 75 s cut such
	// callers.
	stallTimeout = 150 * time.Second
	stallChecks  = 60
	// bodyDrainBytes and bodyDrainTimeout limit how much of an unread body is discarded.
	// Discarding it lets the caller receive the response instead of a reset.
	bodyDrainBytes   = 1 << 20
	bodyDrainTimeout = time.Second
	// slowestPace, in bytes per second, is that of the slowest caller whose responses are not
	// cut (stallTimeout).
	slowestPace = 1 << 10
	// lingerLimit is how long a caller that has acknowledged the last response may take to read
	// it and to close the connection. A receive buffer of 64 KB can be read at 13 KB/s in that
	// time. It is also the time that a caller has for the rest of a body that nobody reads.
	lingerLimit = 5 * time.Second
	// lingerTimeout limits each wait for the caller's close, after which the server looks at
	// what the caller has acknowledged.
	lingerTimeout = 500 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer; typical requests fit.
	readBufferBytes = 2048
	// defaultHeaderBytes limits a request's headers until a configuration is known. It is
	// the default of net/http.
	defaultHeaderBytes = 1 << 20
	// defaultTimeout is the header timeout and the idle timeout until a configuration is
	// known.
	defaultTimeout = 15 * time.Second
	// requestBytes is the memory of a request in progress with a small head and a small
	// response: its goroutines, the parsed head and the encoded one.
	requestBytes = 16 << 10
	// smallHeadBytes is how much of a head is read without further memory from the account.
	// Each byte beyond takes headCost bytes once it is parsed and encoded again.
	smallHeadBytes = 4 << 10
	headCost       = 6
	// smallHeadFields is how many lines of a head are covered by requestBytes. Each line beyond
	// takes fieldCost bytes in the parsed head, whatever its length: an entry of a map, which
	// doubles as it grows, a list and two texts, all of which the request to the server copies.
	smallHeadFields = 64
	fieldCost       = 320
	// smallUploadBytes is how much of a body counts as that of a usual request.
	smallUploadBytes = 16 << 10
	// chunkBytes is the unit of what is read ahead of a response. largeChunkBytes is that of
	// a server which has more ready than the caller has taken: system calls for 16 KB each
	// cost a seventh more processor time than those of 32 KB before.
	chunkBytes      = 16 << 10
	largeChunkBytes = 64 << 10
	// readAheadRetry is how often a response that is read at the pace of its caller asks for
	// memory again.
	readAheadRetry = 500 * time.Millisecond
	// acceptBackoff is the wait after a failed accept, which usually means that file
	// descriptors are exhausted.
	acceptBackoff = 10 * time.Millisecond
)
