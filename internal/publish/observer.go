package publish

import (
	"peridotmoor.org/peridotmoor/internal/authority"
)

// Observer hears of the peers that were in contact, as direct evidence for the
// membership. Its methods are called by one goroutine and must not block.
type Observer interface {
	// MessageReceived reports a message from an instance.
	MessageReceived(from authority.Instance, domain, address string, leaving bool)
	// CallFailed reports a call that got no answer.
	CallFailed(address string)
}
