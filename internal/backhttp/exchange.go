package backhttp

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// exchange is one request on a connection together with its pending response.
type exchange struct {
	request *Request
	// holding is that of the connection for which the request runs.
	holding *membudget.Holding
	// transfer is that of the body, or nil if the request has none or the kernel must give it up
	// in time.
	transfer *transfer
	// done receives exactly one result.
	done chan result
	// stopWatch ends the watch that resets the connection when the context of the request
	// ends. It reports whether the context had not ended.
	stopWatch func() bool
	// answered is set once the end of a success may be passed on: from then on the rest of the
	// request is due to the server.
	answered atomic.Bool
}

// isAccepted reports whether the server has accepted a request with a body, so that it needs
// the whole of it.
func (x *exchange) isAccepted(response *Response) bool {
	return x.transfer != nil && response.accepts()
}

// confirm returns nil if the end of a success may be passed on: what is missing of the request
// can still be delivered. It waits for the write of a request that needs the caller. From then
// on the end of the context does not end the connection.
func (x *exchange) confirm() error {
	t := x.transfer
	if x.request.Remainder != nil {
		<-t.written
	}
	if w := t.writeResult(); w.err != nil && !isEndedByPeer(w.err) {
		return w.err
	}
	if !x.stopWatch() && !t.isDelivered() {
		return errCutByContext
	}
	x.answered.Store(true)
	return nil
}

// endTransfer ends the transfer, if there is one, after the write has been interrupted or has
// failed. It reports whether the connection must not be used again because of it.
func (x *exchange) endTransfer() (tookOver bool) {
	return x.transfer != nil && x.transfer.end()
}
