package callers

import (
	"net/http"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	Name    string
	Service string
	Method  string
	// Weight is the kind's share of the load, relative to the others.
	Weight int
	// Keys is how many keys the kind uses.
	Keys int
	// Path is below /{service}/{key}.
	Path string
	// BodyBytes and AnswerBytes are the lengths of the bodies; 0 means none and the default.
	BodyBytes     int
	ResponseBytes int
}

// Idempotent reports whether the caller marks the request as idempotent.
func (k RequestKind) Idempotent() bool {
	return k.Method == http.MethodGet || k.Method == http.MethodHead
}

// responseBytes is the length of the answer that the server makes.
func (k RequestKind) responseBytes() int {
	if k.ResponseBytes == 0 {
		return servers.DefaultAnswerBytes
	}
	return k.ResponseBytes
}
