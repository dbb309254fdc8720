package httpbackend

import "io"

// truncatedBodyError is the error of a body that ended before it was whole. It is
// io.ErrUnexpectedEOF and its cause.
type truncatedBodyError struct {
	cause error
}

// Error implements error.
func (s *truncatedBodyError) Error() string {
	return "the answer ended before it was whole: " + s.cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (s *truncatedBodyError) Unwrap() []error {
	return []error{io.ErrUnexpectedEOF, s.cause}
}
