package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// inbound is an exchange that a peer opened.
type inbound struct {
	request exchange.Request
	reply   chan exchange.Reply
}
