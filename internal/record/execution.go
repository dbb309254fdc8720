package record

import (
	"context"
	"sync/atomic"
)

// Execution is one execution of a recorded request: the caller that started it and
// the resends that joined it.
type Execution struct {
	entry   *entry
	done    chan struct{}
	callers atomic.Int64
	cancel  context.CancelFunc
	// record is set before done is closed.
	record *Record
}

func newExecution(e *entry) *Execution {
	run := &Execution{entry: e, done: make(chan struct{})}
	run.callers.Store(1)
	return run
}

// SetCancel sets the function that is called once every caller has left. The
// caller that started the run sets it before it may leave.
func (r *Execution) SetCancel(cancel context.CancelFunc) {
	r.cancel = cancel
}

// Leave counts one caller out. The request is cancelled when the last one has left.
func (r *Execution) Leave() {
	if r.callers.Add(-1) == 0 && r.cancel != nil {
		r.cancel()
	}
}

// Done returns a channel that is closed when the run is concluded.
func (r *Execution) Done() <-chan struct{} {
	return r.done
}

// DispatchedRecord returns the dispatched record of the run, as copied to mirrors.
func (r *Execution) DispatchedRecord() Record {
	e := r.entry
	return Record{Key: e.identity.key, ID: e.identity.id, Digest: e.digest, State: Dispatched}
}
