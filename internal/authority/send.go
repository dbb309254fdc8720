package authority

import "time"

// Send asks the driver to send a request to a witness.
type Send struct {
	To      Member
	Request PromiseRequest
	// At is when the request was decided, which is before it is sent. Tenures
	// are measured from it.
	At time.Time
}
