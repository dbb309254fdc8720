package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// incomingExchange is a request from a peer, waiting for its reply.
type incomingExchange struct {
	request exchange.Request
	reply   chan exchange.Reply
}
