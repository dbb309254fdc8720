package membudget

// Kind says what memory is held for.
type Kind uint8

// The kinds.
const (
	// Requests is the cost of requests in progress, pipelined ones included: their heads and
	// what it takes to run them.
	Requests Kind = iota
	// Uploads are buffered request bodies, and buffers of those that are streamed.
	Uploads
	// ResponseHeads are heads of responses that are not small.
	ResponseHeads
	// ResponseBodies are buffered response bodies that have not been passed on.
	ResponseBodies
	// ReadAhead is what has been read of longer response bodies and not been passed on.
	ReadAhead
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Requests, Uploads, ResponseHeads, ResponseBodies, ReadAhead}
}

// String returns the name used in metrics.
func (k Kind) String() string {
	return [kindCount]string{"requests", "uploads", "response_heads", "response_bodies", "read_ahead"}[k]
}
