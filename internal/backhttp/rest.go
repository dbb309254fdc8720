package backhttp

import (
	"io"
	"sync"
)

// rest streams the end of a long answer and tells the reader goroutine when it is done with.
type rest struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func newRest(r io.Reader) *rest {
	return &rest{Reader: r, closed: make(chan struct{})}
}

// Close lets the connection end.
func (r *rest) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}
