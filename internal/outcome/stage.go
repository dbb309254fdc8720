package outcome

// Stage is how far a request had come when it failed.
type Stage int

// The stages of a dispatch, in order.
const (
	// StageEntry covers reading and checking the request at the entry instance.
	StageEntry Stage = iota
	// StageForwardUnsent means that no byte went to the holder.
	StageForwardUnsent
	// StageForwardSent means that the holder may have received the request.
	StageForwardSent
	// StageQueued covers the record check and the queue at the holder.
	StageQueued
	// StageConnect means that no byte of the request was written to the backend server.
	StageConnect
	// StageRefusedByServer means that the backend server bound a refusal to this request ID.
	StageRefusedByServer
	// StageWritten means that at least one byte was written to the backend server.
	StageWritten
	// StageComplete means that the whole answer with the right request ID was received.
	StageComplete
)
