package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// result is the end of a call to a peer.
type result struct {
	purpose purpose
	address string
	reply   exchange.Reply
	err     error
}
