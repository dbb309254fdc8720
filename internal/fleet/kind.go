package fleet

// Kind determines whether the requests of a route may run more than once.
type Kind uint8

// The kinds of request.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindUpload requests are non-idempotent and have a large body.
	KindUpload
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool {
	return k == KindIdempotent
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "non-idempotent"
	case KindUpload:
		return "upload"
	}
	return "unknown"
}
