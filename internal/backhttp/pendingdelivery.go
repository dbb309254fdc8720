package backhttp

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

var (
	errServerStalled = errors.New("the server has answered with success and does not take the rest of the request")
	errServerReset   = errors.New("the server has ended the connection before it had taken the whole request")
	errGivenUp       = errors.New("the instance has ended before the server had taken the whole request")
)

// pendingDelivery delivers the rest of a request that its server has accepted, after its response
// has been passed on. The context of the request, which ends with the request of the caller, does
// not end it.
type pendingDelivery struct {
	pool     *Pool
	conn     *conn
	exchange *exchange
	// streamsResponse is set if the response ends with its connection.
	streamsResponse bool
	wait            deliveryWait
	// ended is closed once the delivery has ended and is reported.
	ended chan struct{}
}

// run waits until the rest has been delivered or must be given up.
func (d *pendingDelivery) run() {
	defer close(d.ended)
	defer d.pool.Deliveries.remove(d)
	held := int64(len(d.exchange.request.Body))
	d.exchange.holding.Charge(membudget.Uploads, held)
	defer d.exchange.holding.Return(membudget.Uploads, held)
	ticker := time.NewTicker(deliveryInterval)
	defer ticker.Stop()
	written := d.exchange.transfer.written
	for {
		select {
		case <-written:
			written = nil
		case <-ticker.C:
		case <-d.conn.aborted:
		}
		if d.exchange.transfer.isDelivered() {
			d.finish()
			return
		}
		if err := d.failure(time.Now()); err != nil {
			d.giveUp(err)
			return
		}
	}
}

// failure returns why the rest cannot be delivered any more, or nil.
func (d *pendingDelivery) failure(now time.Time) error {
	if w := d.exchange.transfer.writeResult(); w.err != nil && !d.conn.closed.Load() {
		return w.err
	}
	state := sockopt.DeliveryOf(d.conn.net)
	d.wait.observe(now, state.Acked)
	switch {
	case state.Ended:
		return errServerReset
	case d.wait.ended(now):
		return errServerStalled
	}
	select {
	case <-d.conn.aborted:
		return d.conn.abortCause()
	default:
		return nil
	}
}

// finish ends a delivery that is complete.
func (d *pendingDelivery) finish() {
	tookOver := d.exchange.transfer.end()
	close(d.exchange.transfer.settled)
	switch {
	case d.streamsResponse: // its reader goroutine ends the connection
	case tookOver:
		d.conn.reusable.Store(false)
		d.conn.retire()
	default:
		d.pool.put(d.conn)
	}
}

// giveUp ends the connection with what has not been delivered.
func (d *pendingDelivery) giveUp(cause error) {
	t := d.exchange.transfer
	d.conn.reusable.Store(false)
	d.conn.abort()
	t.end()
	close(t.settled)
	if d.exchange.answered.Load() {
		d.pool.Deliveries.report(Cut{RequestID: d.exchange.request.ID, Address: d.pool.address, Bytes: t.missing(), Cause: cause})
	}
}
