package router

import (
	"io"
	"sync/atomic"
)

// trackedBody calls onClose once, when the body of a response is first closed.
type trackedBody struct {
	io.ReadCloser
	closed  atomic.Bool
	onClose func()
}

// Close closes the body.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.closed.CompareAndSwap(false, true) {
		b.onClose()
	}
	return err
}
