package backendtest

import (
	"context"
	"time"
)

// Peer is the backend server behind the implementation under test.
type Peer interface {
	// FailNext makes the next request meet the fault.
	FailNext(fault Fault)
	AdvanceClock(d time.Duration)
	Freeze()
	Thaw()
	// Crash resets all connections; Start begins a new incarnation at the same address.
	Crash()
	Start() error
	SetShedding(on bool)
	// Runs returns how often the request was run. It waits until those runs have ended.
	Runs(ctx context.Context, id string) int
	// Timeout returns the remaining time that reached the server with the request.
	Timeout(id string) time.Duration
	// Started waits until the request is being run.
	Started(ctx context.Context, id string)
	// Held waits until a call has met the frozen server.
	Held(ctx context.Context)
	// Cancelled waits until a run of the request was cancelled.
	Cancelled(ctx context.Context, id string)
}
