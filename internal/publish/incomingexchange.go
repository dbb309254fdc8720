package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// incomingExchange is an exchange that a peer opened.
type incomingExchange struct {
	request exchange.Request
	reply   chan exchange.Reply
}
