package backendtest

import (
	"context"
	"time"
)

// ServerControl controls and observes the backend server that the implementation
// under test calls.
type ServerControl interface {
	// FailNext injects the fault into the next request.
	FailNext(fault Fault)
	AdvanceClock(d time.Duration)
	Freeze()
	Thaw()
	// Crash resets all connections; Start begins a new incarnation at the same address.
	Crash()
	Start() error
	SetShedding(on bool)
	// ExecutionCount returns how often the request was run. It waits until these runs have ended.
	ExecutionCount(ctx context.Context, id string) int
	// Timeout returns the remaining time that the server received with the request.
	Timeout(id string) time.Duration
	// WaitUntilStarted waits until the server has started to run the request.
	WaitUntilStarted(ctx context.Context, id string)
	// WaitUntilBlocked waits until a call has reached the frozen server and is blocked there.
	WaitUntilBlocked(ctx context.Context)
	// WaitUntilCancelled waits until a run of the request was cancelled.
	WaitUntilCancelled(ctx context.Context, id string)
}
