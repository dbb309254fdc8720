package record

import (
	"sync/atomic"
	"time"
)

// entry is one row of the table. Its state is immutable and replaced as a whole.
type entry struct {
	identity identity
	digest   uint64
	created  time.Time
	state    atomic.Pointer[entryState]
	// responseBytes is the size of the recorded response that the table accounts for,
	// or entryDropped.
	responseBytes atomic.Int64
	// next links the entries of one expiry bucket.
	next *entry
}

// entryDropped in responseBytes marks an entry that has left the table.
const entryDropped = -1

func newEntry(id identity, digest uint64, created time.Time) *entry {
	e := &entry{identity: id, digest: digest, created: created}
	e.state.Store(&entryState{execution: newExecution(e, 0)})
	return e
}

// snapshot returns the record to copy to a mirror. It returns false for a request that has
// not run and that no mirror knows of.
func (e *entry) snapshot() (Record, bool) {
	current := e.state.Load()
	if current.record == nil {
		return current.execution.DispatchedRecord(), true
	}
	unknownToMirrors := current.record.State == NotRun && current.execution != nil && !current.execution.copied.Load()
	return *current.record, !unknownToMirrors
}
