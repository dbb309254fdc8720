package record

import (
	"sync/atomic"
	"time"
)

// entry is one row of the table. Its phase is immutable and replaced as a whole.
type entry struct {
	identity identity
	digest   uint64
	created  time.Time
	state    atomic.Pointer[entryState]
	// responseBytes is the size of the responseBytes answer that the table accounts for, or keptDropped.
	responseBytes atomic.Int64
	// next links the entries created within one second.
	next *entry
}

// entryDropped marks an entry that has left the table.
const entryDropped = -1

func newEntry(id identity, digest uint64, created time.Time) *entry {
	e := &entry{identity: id, digest: digest, created: created}
	e.state.Store(&entryState{execution: newExecution(e)})
	return e
}

// snapshot returns the record to copy to a mirror, and false for one that mirrors do not hold.
func (e *entry) snapshot() (Record, bool) {
	current := e.state.Load()
	if current.record == nil {
		return current.execution.DispatchedRecord(), true
	}
	return *current.record, current.record.State != NotRun
}
