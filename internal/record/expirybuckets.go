package record

import "sync/atomic"

// ring keeps entries by the second of their creation, so that expiry touches
// only entries that have expired. Each bucket is a lock-free stack.
type ring struct {
	buckets []atomic.Pointer[entry]
}

func newRing(seconds int) *ring {
	return &ring{buckets: make([]atomic.Pointer[entry], seconds)}
}

func (r *ring) bucket(second int64) *atomic.Pointer[entry] {
	return &r.buckets[second%int64(len(r.buckets))]
}

func (r *ring) add(e *entry) {
	bucket := r.bucket(e.created.Unix())
	for {
		head := bucket.Load()
		e.next = head
		if bucket.CompareAndSwap(head, e) {
			return
		}
	}
}

// take removes the entries of one second and calls drop for each. Entries of
// another second that share the bucket stay.
func (r *ring) take(second int64, drop func(*entry)) {
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
