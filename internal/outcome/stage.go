package outcome

// Stage is how far a request had progressed when it ended.
type Stage int

// The stages of a dispatch, in order.
const (
	// StageEntry covers reading and checking the request at the entry instance.
	StageEntry Stage = iota
	// StageForwardUnsent means that no byte was sent to the holder.
	StageForwardUnsent
	// StageForwardSent means that the holder may have received the request.
	StageForwardSent
	// StageQueued covers the lookup of the request record and the queue at the holder.
	StageQueued
	// StageConnect means that no byte of the request was written to the backend server.
	StageConnect
	// StageRefusedByServer means that the backend server sent a refusal with this request's ID.
	StageRefusedByServer
	// StageWritten means that at least one byte was written to the backend server.
	StageWritten
	// StageComplete means that the complete response, with the right request ID, was received.
	StageComplete
)
