package backhttp

import (
	"io"
	"sync"
)

// remainder streams the end of a long answer and tells the reader goroutine when it is done with.
type remainder struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func newRemainder(r io.Reader) *remainder {
	return &remainder{Reader: r, closed: make(chan struct{})}
}

// Close lets the connection end.
func (r *remainder) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}
