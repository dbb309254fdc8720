package record

import (
	"context"
	"sync/atomic"
)

// Execution is one execution of a recorded request, shared by the caller that started
// it and those whose resends joined it.
type Execution struct {
	entry *entry
	// number is that of the record.
	number uint32
	// copied is set once the dispatched record is on its way to the mirrors.
	copied  atomic.Bool
	done    chan struct{}
	callers atomic.Int64
	cancel  context.CancelFunc
	// record is set before done is closed.
	record *Record
}

func newExecution(e *entry, number uint32) *Execution {
	execution := &Execution{entry: e, number: number, done: make(chan struct{})}
	execution.callers.Store(1)
	return execution
}

// SetCancel sets the function that is called once every caller has left. The caller
// that started the execution sets it before its own Leave.
func (r *Execution) SetCancel(cancel context.CancelFunc) {
	r.cancel = cancel
}

// Leave removes one caller. The request is cancelled when the last one has left.
func (r *Execution) Leave() {
	if r.callers.Add(-1) == 0 && r.cancel != nil {
		r.cancel()
	}
}

// Done returns a channel that is closed when the execution is concluded.
func (r *Execution) Done() <-chan struct{} {
	return r.done
}

// Repeated reports whether an earlier execution of the request did not run.
func (r *Execution) Repeated() bool {
	return r.number > 0
}

// DispatchedRecord returns the record that is copied to the mirrors before the dispatch.
func (r *Execution) DispatchedRecord() Record {
	e := r.entry
	return Record{Key: e.identity.key, ID: e.identity.id, Digest: e.digest, State: Dispatched, Execution: r.number}
}
