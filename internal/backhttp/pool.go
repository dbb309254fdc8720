package backhttp

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// Pool is a pool of connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address   string
	idle      stack
	dialer    net.Dialer
	closed    atomic.Bool
	dialCount atomic.Uint64
	// Deliveries are the requests that are still delivered after their response. Another one
	// may be set before the first request.
	Deliveries *Deliveries
	// resetWait is the constant, but in tests.
	resetWait time.Duration
	memory    *membudget.Account
}

// NewPool returns a pool for the server at address (host:port). dialTimeout bounds
// the time to connect. memory counts what responses hold.
func NewPool(address string, dialTimeout time.Duration, memory *membudget.Account) *Pool {
	return &Pool{
		address:    address,
		Deliveries: &Deliveries{},
		resetWait:  resetWait,
		memory:     memory,
		dialer: net.Dialer{
			Timeout: dialTimeout, KeepAlive: -1,
			// No bytes of a request may outlive it, or the process: see Do.
			Control: sockopt.Controls(sockopt.UserTimeout(unackedTimeout), sockopt.ResetOnClose, sockopt.LimitUnsent),
		},
	}
}

// DialCount returns how many connections the pool has tried to open.
func (p *Pool) DialCount() uint64 {
	return p.dialCount.Load()
}

// Do sends the request and waits for the complete response, or for the start of a
// long one. After an error, and after the process has ended, the kernel sends no more bytes
// of the request. A success may come before the server has taken the request: the rest is then
// delivered after Do has returned, and the request must not be changed. A streamed body is read
// on only beside a long response, whose end waits for that. The caller must release the response.
// When ctx ends first, the connection is reset, which tells the server to cancel its work. That
// holds until a long response has been read to its end or is closed: ctx must not end before.
// What the request holds counts for the holding that ctx carries, if any. The error is a
// *RequestError.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	holding := membudget.FromContext(ctx)
	if holding == nil {
		holding = p.memory.Unattributed()
	}
	for {
		if err := ctx.Err(); err != nil {
			return nil, &RequestError{Cause: err}
		}
		c, fresh, err := p.get(ctx, request.FreshConnection)
		if err != nil {
			return nil, &RequestError{Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
		}
		if fresh && request.AwaitReset && c.endsWithin(p.resetWait) {
			return nil, &RequestError{Cause: errors.New("the server has reset the new connection")}
		}
		x := &exchange{request: request, holding: holding, done: make(chan result, 1), stopWatch: context.AfterFunc(ctx, c.abort)}
		if request.hasTransfer() {
			x.transfer = newTransfer(c, request, holding)
		}
		c.requestWritten.Store(false)
		c.writtenWhole.Store(false)
		c.pending.Store(x)
		if c.closed.Load() {
			x.stopWatch()
			continue // the server closed the idle connection; nothing was written
		}
		return p.run(ctx, c, x)
	}
}

func (p *Pool) run(ctx context.Context, c *conn, x *exchange) (*Response, error) {
	if err := c.limitDelivery(ctx, x.request); err != nil {
		c.abort()
		p.withdraw(c, x)
		return nil, &RequestError{Cause: err}
	}
	if err := x.request.checkWrite(ctx); err != nil { // as late as possible
		p.withdraw(c, x)
		return nil, &RequestError{Expired: errors.Is(err, errExpired), Withheld: errors.Is(err, errWithheld), Cause: err}
	}
	if x.transfer == nil {
		return p.conclude(ctx, c, x, c.write(x.request))
	}
	x.transfer.start()
	x.transfer.await(x)
	return p.conclude(ctx, c, x, x.transfer.writeResult())
}

// conclude waits for the response to a request that has been written, or that is still written
// after its server has accepted it.
func (p *Pool) conclude(ctx context.Context, c *conn, x *exchange, w writeResult) (*Response, error) {
	if w.err != nil && !c.mayStillRespond(w.err) && c.pending.CompareAndSwap(x, nil) {
		x.stopWatch()
		c.abort()
		x.endTransfer()
		return nil, &RequestError{Sent: true, WrittenAt: w.at, Cause: errors.Wrap(w.err, "write request")}
	}
	r := <-x.done
	if r.err == nil {
		r.response.WrittenAt = w.at
	}
	if r.err == nil && x.isAccepted(r.response) {
		return p.accept(ctx, c, x, w, r.response)
	}
	tookOver := x.endTransfer()
	if r.err == nil && r.response.Remainder != nil {
		return r.response, nil // the reader goroutine ends the watch and the connection
	}
	notCancelled := x.stopWatch()
	if r.err != nil {
		if ctx.Err() != nil {
			r.err = ctx.Err()
		}
		return nil, &RequestError{Sent: true, WrittenAt: w.at, Cause: r.err}
	}
	switch {
	case tookOver, !c.readyForNext(w.err), x.transfer != nil && !x.transfer.isDelivered():
		c.reusable.Store(false)
		c.abort()
	case notCancelled:
		p.put(c)
	}
	return r.response, nil
}

// withdraw ends an exchange of which nothing has been written.
func (p *Pool) withdraw(c *conn, x *exchange) {
	notCancelled := x.stopWatch()
	switch {
	case !c.pending.CompareAndSwap(x, nil): // closed, or the server has sent bytes without a request
		c.abort()
		if r := <-x.done; r.response != nil {
			r.response.Release()
		}
	case notCancelled:
		p.put(c)
	default:
		c.abort()
	}
}

// get returns an idle connection or, if there is none or mustBeNew is set, a new one, and
// whether it is new.
func (p *Pool) get(ctx context.Context, mustBeNew bool) (c *conn, isNew bool, err error) {
	now := time.Now()
	for !mustBeNew {
		c := p.idle.pop()
		if c == nil {
			break
		}
		if c.canReuse(now) {
			return c, false, nil
		}
		c.retire()
	}
	p.dialCount.Add(1)
	raw, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, false, errors.Wrap(err, "connect")
	}
	return newConn(raw), true, nil
}

func (p *Pool) put(c *conn) {
	// A connection that must not be reused is closed by its reader goroutine.
	if !c.reusable.Load() {
		return
	}
	p.idle.push(c)
	if p.closed.Load() {
		p.Close()
	}
}

// Close closes the idle connections. Those in use are closed after their request.
func (p *Pool) Close() {
	p.closed.Store(true)
	for c := p.idle.pop(); c != nil; c = p.idle.pop() {
		c.retire()
	}
}
