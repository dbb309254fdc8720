package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// callResult is the outcome of a call to a peer or of a read of the store.
type callResult struct {
	purpose purpose
	address string
	reply   exchange.Reply
	err     error
}
