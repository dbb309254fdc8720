package backhttp

// sourceError is an error of the source of a request's body. It hides its cause, so that a
// reset by the caller is not taken for one by the server.
type sourceError struct {
	cause error
}

// Error returns the cause.
func (e sourceError) Error() string {
	return "read the request body: " + e.cause.Error()
}
