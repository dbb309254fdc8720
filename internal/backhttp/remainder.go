package backhttp

import (
	"io"
	"sync"
)

// remainder streams the rest of a long response body and tells the reader goroutine
// when the receiver has closed it.
type remainder struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
	// released is closed once the kernel has given up the connection.
	released <-chan struct{}
}

func newRemainder(r io.Reader, released <-chan struct{}) *remainder {
	return &remainder{Reader: r, closed: make(chan struct{}), released: released}
}

// Close lets the reader goroutine close the connection, and waits for that: the server may
// have answered before the whole request was delivered.
func (r *remainder) Close() error {
	r.once.Do(func() { close(r.closed) })
	<-r.released
	return nil
}
