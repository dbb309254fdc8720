package request

import "context"

// Handler runs a request. A returned error always has a *problem.Problem in its
// chain, whose outcome is what may be claimed about this request. On a nil
// error the caller owns Answer.Body.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}
