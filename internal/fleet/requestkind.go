package fleet

// RequestKind determines whether the requests of a route may run more than once.
type RequestKind uint8

// The kinds of request.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindUpload requests are non-idempotent and have a large body.
	KindUpload
	// KindDownload requests are idempotent and have a large response.
	KindDownload
)

// Idempotent reports whether a request of this kind may run more than once.
func (k RequestKind) Idempotent() bool {
	return k == KindIdempotent || k == KindDownload
}

// Large reports whether a request of this kind or its response has a large body.
func (k RequestKind) Large() bool {
	return k == KindUpload || k == KindDownload
}

// String returns the name of the kind in logs.
func (k RequestKind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "non-idempotent"
	case KindUpload:
		return "upload"
	case KindDownload:
		return "download"
	}
	return "unknown"
}
