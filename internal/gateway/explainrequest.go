package gateway

import "peridotmoor.org/peridotmoor/internal/credential"

// ExplainRequest is a request that is explained and not sent.
type ExplainRequest struct {
	Method, Host string
	// Path is what fleet.RoutingPath returns.
	Path string
	// Key is placing.NoKey or the key of the request.
	Key int
	// Team, unless empty, stands for the key of that team; Credential is not read then.
	Team       string
	Credential credential.Credential
}
