package httpbackend

import "fmt"

// controlFailure is a control call without a valid answer. errors.Is finds
// ErrControl and the cause.
type controlFailure struct {
	server string
	path   string
	cause  error
}

// Error implements error.
func (f *controlFailure) Error() string {
	return fmt.Sprintf("%v: %s to server %s: %v", ErrControl, f.path, f.server, f.cause)
}

// Unwrap returns ErrControl and the cause.
func (f *controlFailure) Unwrap() []error {
	return []error{ErrControl, f.cause}
}
