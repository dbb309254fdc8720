package peer

import (
	"peridotmoor.org/peridotmoor/internal/request"
)

// Handlers handle the calls of other instances. All fields are required.
type Handlers struct {
	Requests request.Handler
	Witness  WitnessHandler
	Mirror   MirrorHandler
	Exchange ExchangeHandler
	HandOver HandOverHandler
}
