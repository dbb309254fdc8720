package record

import "sync/atomic"

// expiryBuckets is a ring of buckets that hold the entries by the second of their
// creation, so that expiry visits only entries that have expired. Each bucket is a
// lock-free stack.
type expiryBuckets struct {
	buckets []atomic.Pointer[entry]
}

func newExpiryBuckets(seconds int) *expiryBuckets {
	return &expiryBuckets{buckets: make([]atomic.Pointer[entry], seconds)}
}

func (r *expiryBuckets) bucket(second int64) *atomic.Pointer[entry] {
	return &r.buckets[second%int64(len(r.buckets))]
}

func (r *expiryBuckets) add(e *entry) {
	bucket := r.bucket(e.created.Unix())
	for {
		head := bucket.Load()
		e.next = head
		if bucket.CompareAndSwap(head, e) {
			return
		}
	}
}

// removeSecond removes the entries that were created in the given second or earlier
// from its bucket and calls drop for each. Later entries that share the bucket stay.
func (r *expiryBuckets) removeSecond(second int64, drop func(*entry)) {
	e := r.bucket(second).Swap(nil)
	for e != nil {
		following := e.next
		if e.created.Unix() <= second {
			drop(e)
		} else {
			r.add(e)
		}
		e = following
	}
}
