package gateway

import (
	"context"
	"slices"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// hedgeBranch is the second attempt beside a first one. It has copies of what an attempt
// changes, as both run at the same time.
type hedgeBranch struct {
	cancel context.CancelCauseFunc
	call   Call
	state  callState
	// triedBefore and sendsBefore are the tried servers and the sends of the copies before the
	// attempt.
	triedBefore, sendsBefore int
	// server is empty if the hedge was refused.
	server string
	result AttemptResult
	// done is closed when the branch has ended. The other fields must not be read before.
	done chan struct{}
}

// newHedgeBranch copies the call and its state before the first attempt at firstServer.
func newHedgeBranch(call *Call, state *callState, cancel context.CancelCauseFunc, firstServer string) *hedgeBranch {
	b := &hedgeBranch{cancel: cancel, call: *call, state: *state, sendsBefore: state.sends, done: make(chan struct{})}
	b.call.Tried = append(slices.Clone(call.Tried), firstServer)
	b.triedBefore = len(b.call.Tried)
	return b
}

// mergeInto adds what the branch has done to the call and its state.
func (b *hedgeBranch) mergeInto(call *Call, state *callState) {
	call.Tried = append(call.Tried, b.call.Tried[b.triedBefore:]...)
	state.sends += b.state.sends - b.sendsBefore
}

// discard releases the response of an attempt that is not used.
func (r *AttemptResult) discard() {
	if r.Response == nil {
		return
	}
	if r.Response.Remainder != nil {
		_ = r.Response.Remainder.Close() // resets the connection; nothing reads it
	}
	r.Response.Release()
}

// settledOutcome returns the outcome of an attempt that may have been cancelled because the
// other one was answered, which is no failure of its server.
func settledOutcome(ctx context.Context, outcome placing.Outcome) placing.Outcome {
	if context.Cause(ctx) != errAnsweredByOther {
		return outcome
	}
	switch outcome {
	case placing.Abandoned:
		return placing.Cancelled
	case placing.Unreached:
		return placing.Unused // the connection was not awaited
	}
	return outcome
}
