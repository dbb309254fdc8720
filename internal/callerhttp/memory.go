package callerhttp

import (
	"net/http"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

var (
	errNoMemory = errors.New("the instance has no memory for the request; send it again later")
	// errEndedForMemory is the cause with which the requests of a connection are cancelled
	// that is ended because it holds too much memory.
	errEndedForMemory = errors.New("the connection held the most memory for the longest without progress when the memory of the instance was used up")
)

// endForMemory ends the connection at once, with a reset: what the kernel holds for a caller
// that does not read is freed too.
func (c *conn) endForMemory() {
	c.end(errEndedForMemory)
}

// end ends the connection at once, with a reset, and cancels its requests with the cause.
func (c *conn) end(cause error) {
	c.broken.Store(true)
	c.requests.seal()
	c.cancel(cause)
	sockopt.SetLinger(c.net, 0)
	_ = c.net.Close() // reads and writes end; an error has no consequence
}

// waitsForCaller reports whether the connection can go on only when its caller sends or takes
// bytes.
func (c *conn) waitsForCaller() bool {
	return c.callerWaits.Load() > 0 || c.requests.inProgress() == 0
}

// refuseForMemory answers that a request was not run, and closes the connection. It returns
// the same value as rejectMalformed.
func (c *conn) refuseForMemory(previous chan struct{}) chan struct{} {
	c.holding.Account().CountRefusal()
	if !c.requests.start() {
		return nil
	}
	done := make(chan struct{})
	go c.respond(&Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"1"}}}, previous, done, true)
	return done
}

// returnRequest returns the memory of a request, with a head that has taken headBytes.
func (c *conn) returnRequest(incoming *body, headBytes int64) {
	c.holding.Return(membudget.Requests, requestBytes+headBytes)
	if incoming != nil {
		c.holding.Return(membudget.Uploads, incoming.taken)
	}
}
