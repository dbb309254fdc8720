package callers

import (
	"net/http"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// RequestKind is one kind of request in a load.
type RequestKind struct {
	Name    string
	Service string
	Method  string
	// Weight is the kind's share of the load, relative to the others.
	Weight int
	// Keys is the number of keys that the kind uses.
	Keys int
	// Path is appended to /{service}/{key}.
	Path string
	// BodyBytes and ResponseBytes are the lengths of the request and response body.
	// 0 means no request body and a response of the default length.
	BodyBytes     int
	ResponseBytes int
}

// Idempotent reports whether callers mark requests of this kind as idempotent.
func (k RequestKind) Idempotent() bool {
	return k.Method == http.MethodGet || k.Method == http.MethodHead
}

// responseBytes returns the expected length of the response body.
func (k RequestKind) responseBytes() int {
	if k.ResponseBytes == 0 {
		return servers.DefaultResponseBytes
	}
	return k.ResponseBytes
}
