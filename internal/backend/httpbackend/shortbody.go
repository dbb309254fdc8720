package httpbackend

import "io"

// shortBody is the error of a body that ended before it was whole. It is
// io.ErrUnexpectedEOF and its cause.
type shortBody struct {
	cause error
}

// Error implements error.
func (s *shortBody) Error() string {
	return "the answer ended before it was whole: " + s.cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (s *shortBody) Unwrap() []error {
	return []error{io.ErrUnexpectedEOF, s.cause}
}
