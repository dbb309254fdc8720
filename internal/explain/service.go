package explain

// Service is a service that may run a request.
type Service struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	Keyed  bool    `json:"keyed"`
	// Owner is the owner of the key, or empty. OwnerHolds is false while the key moves.
	Owner      string `json:"owner,omitempty"`
	OwnerHolds bool   `json:"owner_holds"`
	MayHedge   bool   `json:"may_hedge"`
	// Servers holds the owner, or else the first servers of the service; ServerCount counts all.
	Servers     []Server `json:"servers,omitempty"`
	ServerCount int      `json:"server_count"`
	// Refusal is set if the request would certainly be refused at this service.
	Refusal *Refusal `json:"refusal,omitempty"`
}
