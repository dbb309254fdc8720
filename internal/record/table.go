package record

import (
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the request records of one shard at its holder. A request reads
// and changes its own entry only, without a lock.
type Table struct {
	options       Options
	entries       sync.Map // identity to *entry
	buckets       *expiryBuckets
	count         atomic.Int64
	responseBytes atomic.Int64
	// completeSince is the creation time from which on the table knows every request.
	completeSince time.Time
	// expiredThrough is the Unix second up to which entries have been dropped. It is
	// raised before entries are dropped and never falls, even if the clock does.
	expiredThrough atomic.Int64
}

// NewTable returns a table that knows the given records, which an earlier holder
// dispatched, and every request created at or after completeSince.
func NewTable(o Options, records []Record, completeSince time.Time) *Table {
	o = o.withDefaults()
	t := &Table{options: o, buckets: newExpiryBuckets(o.bucketCount()), completeSince: completeSince}
	for _, r := range records {
		t.addInherited(r)
	}
	return t
}

// CompleteSince returns the creation time from which on the table knows every request.
func (t *Table) CompleteSince() time.Time {
	return t.completeSince
}

// Len returns the number of records.
func (t *Table) Len() int {
	return int(t.count.Load())
}

// addInherited adds the record of an earlier holder. A request that was only dispatched
// then has an unknown outcome.
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

// Snapshot calls visit with each record that a mirror must hold.
func (t *Table) Snapshot(visit func(Record)) {
	t.entries.Range(func(_, value any) bool {
		if r, ok := value.(*entry).snapshot(); ok {
			visit(r)
		}
		return true
	})
}

// Expire drops records that are older than the retention. Concurrent calls are
// harmless: each second is dropped by one of them.
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
