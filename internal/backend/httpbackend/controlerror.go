package httpbackend

import "fmt"

// controlError describes a control call without a valid response. It wraps
// ErrControl and the cause.
type controlError struct {
	server string
	path   string
	cause  error
}

// Error implements error.
func (f *controlError) Error() string {
	return fmt.Sprintf("%v: %s to server %s: %v", ErrControl, f.path, f.server, f.cause)
}

// Unwrap returns ErrControl and the cause.
func (f *controlError) Unwrap() []error {
	return []error{ErrControl, f.cause}
}
