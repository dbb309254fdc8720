package backhttp

// RequestError is a request that got no whole answer.
type RequestError struct {
	// Sent reports whether a byte of the request may have reached the server.
	Sent bool
	// Refused reports that the server's machine said that no process listens.
	Refused bool
	Cause   error
}

// Error returns the cause and whether the request may have run.
func (f *RequestError) Error() string {
	if f.Sent {
		return "no whole answer, the request may have run: " + f.Cause.Error()
	}
	return "not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error {
	return f.Cause
}
