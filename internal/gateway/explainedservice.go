package gateway

// ExplainedService is a service that may run an explained request.
type ExplainedService struct {
	Name string
	// Weight is its weight among the shares of the route.
	Weight float64
	Keyed  bool
	// Owner is the owner of the key, or empty; OwnerHolds is false while the key moves.
	Owner      string
	OwnerHolds bool
	// MayHedge is set if a second attempt may run beside a slow first one.
	MayHedge bool
	// Servers holds the owner, or else the listed servers of the service.
	Servers []ExplainedServer
	// Refusal is the reply if the request would certainly be refused at this service, else
	// nil: for want of capacity, only the holder can tell.
	Refusal *Reply
}
