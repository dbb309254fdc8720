package router

import (
	"io"
	"sync/atomic"
)

// trackedBody tells once when an answer has been read or given up.
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
