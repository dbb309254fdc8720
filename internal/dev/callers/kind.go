package callers

import (
	"net/http"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// Kind is one kind of request in the mix.
type Kind struct {
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
	BodyBytes   int
	AnswerBytes int
}

// Idempotent reports whether the caller marks the request as idempotent.
func (k Kind) Idempotent() bool {
	return k.Method == http.MethodGet || k.Method == http.MethodHead
}

// answerBytes is the length of the answer that the server makes.
func (k Kind) answerBytes() int {
	if k.AnswerBytes == 0 {
		return servers.DefaultResponseBytes
	}
	return k.AnswerBytes
}
