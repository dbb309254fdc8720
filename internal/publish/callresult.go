package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// callResult is the end of a call to a peer.
type callResult struct {
	purpose purpose
	address string
	reply   exchange.Reply
	err     error
}
