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
	phase    atomic.Pointer[phase]
	// kept is the size of the kept answer that the table accounts for, or keptDropped.
	kept atomic.Int64
	// next links the entries created within one second.
	next *entry
}

// keptDropped marks an entry that has left the table.
const keptDropped = -1

func newEntry(id identity, digest uint64, created time.Time) *entry {
	e := &entry{identity: id, digest: digest, created: created}
	e.phase.Store(&phase{run: newRun(e)})
	return e
}

// snapshot returns the record to copy to a mirror, and false for one that mirrors do not hold.
func (e *entry) snapshot() (Record, bool) {
	current := e.phase.Load()
	if current.record == nil {
		return current.run.DispatchedRecord(), true
	}
	return *current.record, current.record.State != NotRun
}
