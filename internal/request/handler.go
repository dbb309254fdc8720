package request

import "context"

// Handler runs a request. A returned error always wraps a *problem.Problem, whose
// outcome is what may be reported about this request. If the error is nil, the
// caller must close Response.Body.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}
