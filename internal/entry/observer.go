package entry

import (
	"context"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Observer is notified of the progress of each caller's request. It must not block.
type Observer interface {
	// Arrived starts the request's span and returns the context that carries it.
	Arrived(r *http.Request) context.Context
	// Refused is called when a request did not pass the checks of the entry.
	Refused(ctx context.Context, r *request.Request, p *problem.Problem, duration time.Duration)
	// Completed is called with the outcome that the caller was sent. p is nil if the
	// complete response was written.
	Completed(ctx context.Context, r *request.Request, o outcome.Outcome, p *problem.Problem, duration time.Duration)
}
