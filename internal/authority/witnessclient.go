package authority

import "context"

// WitnessClient sends promise requests to witnesses. The transport between
// instances implements it.
type WitnessClient interface {
	// Promise sends the request to the instance to at address. If another
	// incarnation answers, PromiseReply.Witness names it.
	Promise(ctx context.Context, to Instance, address string, request PromiseRequest) (PromiseReply, error)
}
