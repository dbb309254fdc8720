package record

import "sync/atomic"

// pendingCopy is one record that is being copied to all mirrors.
type pendingCopy struct {
	record Record
	// mark is set for a message without a record.
	mark bool
	// remaining counts the mirrors that have neither acknowledged the record nor been removed.
	remaining atomic.Int32
	failure   atomic.Pointer[error]
	done      chan struct{}
}

func newPendingCopy(r Record, mirrors int) *pendingCopy {
	p := &pendingCopy{record: r, done: make(chan struct{})}
	p.remaining.Store(int32(mirrors))
	return p
}

// settle counts one mirror as done: it has acknowledged the record or was removed from the
// set. A non-nil err fails the copy.
func (p *pendingCopy) settle(err error) {
	if err != nil {
		p.failure.CompareAndSwap(nil, &err)
	}
	if p.remaining.Add(-1) == 0 {
		close(p.done)
	}
}

func (p *pendingCopy) err() error {
	if failure := p.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}
