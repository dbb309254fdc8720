package record

import (
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the request records of one shard at its holder. A request reads and
// changes only its own entry, without a lock. All methods are safe for concurrent use.
type Table struct {
	options       Options
	entries       sync.Map // identity to *entry
	buckets       *expiryBuckets
	count         atomic.Int64
	responseBytes atomic.Int64
	// completeSince is the creation time since which the table has a record of every request.
	// It changes once at most, when the records of the previous holder have been added.
	completeSince atomic.Pointer[time.Time]
	// expiredThrough is the last Unix second of which entries have been dropped. It is
	// raised before they are dropped, and never lowered, even if the clock steps back.
	expiredThrough atomic.Int64
}

// NewTable returns a table with the records of an earlier holder. The table treats a
// request created at or after completeSince that has no record as new.
func NewTable(o Options, records []Record, completeSince time.Time) *Table {
	o = o.withDefaults()
	t := &Table{options: o, buckets: newExpiryBuckets(o.bucketCount())}
	t.takeOver(records, completeSince)
	return t
}

// takeOver adds the records of an earlier holder, which are complete since the given time. A
// request from before that time gets no other answer until all of them are there.
func (t *Table) takeOver(records []Record, completeSince time.Time) {
	for _, r := range records {
		t.addInherited(r)
	}
	t.completeSince.Store(&completeSince)
}

// CompleteSince returns the creation time since which the table has a record of every request.
func (t *Table) CompleteSince() time.Time {
	return *t.completeSince.Load()
}

func (t *Table) Len() int {
	return int(t.count.Load())
}

// addInherited adds the record of an earlier holder. A request that was dispatched and
// has no recorded end gets an unknown outcome.
func (t *Table) addInherited(r Record) {
	created, err := CreatedAt(r.ID)
	if err != nil {
		return
	}
	if r.State == Dispatched {
		r = holderLostRecord(r)
	}
	e := &entry{identity: r.identity(), digest: r.Digest, created: created}
	e.state.Store(&entryState{record: &r})
	if _, loaded := t.entries.LoadOrStore(e.identity, e); loaded {
		return
	}
	t.count.Add(1)
	e.responseBytes.Store(int64(len(r.Body)))
	t.responseBytes.Add(int64(len(r.Body)))
	t.buckets.add(e)
}

// Snapshot calls visit with each record that a mirror must have.
func (t *Table) Snapshot(visit func(Record)) {
	t.entries.Range(func(_, value any) bool {
		if r, ok := value.(*entry).snapshot(); ok {
			visit(r)
		}
		return true
	})
}

// Expire drops records that are older than the retention. Of concurrent calls, one
// drops the entries of each second.
func (t *Table) Expire(now time.Time) {
	limit := now.Add(-t.options.Retention).Unix() - 1
	for {
		old := t.expiredThrough.Load()
		if old >= limit {
			return
		}
		if t.expiredThrough.CompareAndSwap(old, limit) {
			t.dropSeconds(old, limit)
			return
		}
	}
}

func (t *Table) dropSeconds(after, limit int64) {
	first := max(after+1, limit-int64(len(t.buckets.buckets))+1)
	for second := first; second <= limit; second++ {
		t.buckets.removeSecond(second, t.drop)
	}
}

func (t *Table) drop(e *entry) {
	t.entries.Delete(e.identity)
	t.count.Add(-1)
	t.responseBytes.Add(-e.responseBytes.Swap(entryDropped))
}
