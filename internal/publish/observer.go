package publish

import (
	"peridotmoor.org/peridotmoor/internal/authority"
)

// Observer is told which peers responded and which did not, as direct observations for the
// membership. Its methods are called by one goroutine and must not block.
type Observer interface {
	// MessageReceived reports a request or reply from an instance.
	MessageReceived(from authority.Instance, domain, address string, leaving bool)
	// CallFailed reports a call without a reply.
	CallFailed(address string)
}
