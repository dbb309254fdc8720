package authority

import "context"

// WitnessClient asks witnesses for promises. The adapter between instances implements it.
type WitnessClient interface {
	// Promise sends the request to the instance to at address. The answer may
	// come from another incarnation, which PromiseReply.Witness shows.
	Promise(ctx context.Context, to Instance, address string, request PromiseRequest) (PromiseReply, error)
}
