package backendtest

import (
	"context"
	"time"
)

// ServerControl is the backend server behind the implementation under test.
type ServerControl interface {
	// FailNext makes the next request meet the fault.
	FailNext(fault Fault)
	AdvanceClock(d time.Duration)
	Freeze()
	Thaw()
	// Crash resets all connections; Start begins a new incarnation at the same address.
	Crash()
	Start() error
	SetShedding(on bool)
	// ExecutionCount returns how often the request was run. It waits until those runs have ended.
	ExecutionCount(ctx context.Context, id string) int
	// Timeout returns the remaining time that reached the server with the request.
	Timeout(id string) time.Duration
	// WaitUntilStarted waits until the request is being run.
	WaitUntilStarted(ctx context.Context, id string)
	// WaitUntilBlocked waits until a call has met the frozen server.
	WaitUntilBlocked(ctx context.Context)
	// WaitUntilCancelled waits until a run of the request was cancelled.
	WaitUntilCancelled(ctx context.Context, id string)
}
