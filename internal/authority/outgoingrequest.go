package authority

import "time"

// OutgoingRequest asks the driver to send a request to a witness.
type OutgoingRequest struct {
	To      Member
	Request PromiseRequest
	// CreatedAt is when the request was decided, which is before it is sent. Tenures
	// are measured from it.
	CreatedAt time.Time
}
