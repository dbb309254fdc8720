package backhttp

import "time"

// RequestError is the error of a request that got no complete response.
type RequestError struct {
	// Sent reports whether a byte of the request may have reached the server.
	Sent bool
	// Refused reports whether the connection was refused: no process listens at the
	// address.
	Refused bool
	// Expired reports whether the connection was there, but this process came to write the
	// request only after its time. That says nothing about the server.
	Expired bool
	// Withheld reports whether the connection was there, but MayWrite of the request has
	// forbidden the write.
	Withheld bool
	// WrittenAt is when the write of the request ended, or the zero time if none began.
	WrittenAt time.Time
	Cause     error
}

// Error returns the cause and whether the request may have been executed.
func (f *RequestError) Error() string {
	if f.Sent {
		return "no complete response, the request may have been executed: " + f.Cause.Error()
	}
	return "not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error {
	return f.Cause
}
