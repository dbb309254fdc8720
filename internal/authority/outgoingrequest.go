package authority

import "time"

// OutgoingRequest is a promise request for the driver to send to a witness.
type OutgoingRequest struct {
	To      Member
	Request PromiseRequest
	// CreatedAt is when the request was created, which is before it is sent.
	// Tenures are measured from this time.
	CreatedAt time.Time
}
