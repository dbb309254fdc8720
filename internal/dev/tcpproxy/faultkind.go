package tcpproxy

// FaultKind is a kind of fault of a connection.
type FaultKind string

// The kinds of faults. Held bytes are delivered when the fault ends, unless their
// sender has reset the connection in the meantime.
const (
	FaultDelay FaultKind = "delay"
	FaultReset FaultKind = "reset"
	// FaultSilentRequests holds the bytes from client to server.
	FaultSilentRequests FaultKind = "silent-requests"
	// FaultSilentResponses holds the bytes from server to client.
	FaultSilentResponses FaultKind = "silent-responses"
	FaultSilent          FaultKind = "silent"
)
