package httpbackend

import "io"

// truncatedBodyError means that a response body ended before it was complete. It
// wraps io.ErrUnexpectedEOF and the cause.
type truncatedBodyError struct {
	cause error
}

// Error implements error.
func (s *truncatedBodyError) Error() string {
	return "the response body ended before it was complete: " + s.cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (s *truncatedBodyError) Unwrap() []error {
	return []error{io.ErrUnexpectedEOF, s.cause}
}
