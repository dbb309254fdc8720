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

func (b *expiryBuckets) bucket(second int64) *atomic.Pointer[entry] {
	return &b.buckets[second%int64(len(b.buckets))]
}

func (b *expiryBuckets) add(e *entry) {
	bucket := b.bucket(e.created.Unix())
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
func (b *expiryBuckets) removeSecond(second int64, drop func(*entry)) {
	e := b.bucket(second).Swap(nil)
	for e != nil {
		following := e.next
		if e.created.Unix() <= second {
			drop(e)
		} else {
			b.add(e)
		}
		e = following
	}
}
