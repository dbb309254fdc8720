package entry

import (
	"context"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Observer is told what becomes of each caller's request. It must not block.
type Observer interface {
	// Arrived starts the request's span and returns the context that carries it.
	Arrived(r *http.Request) context.Context
	// Refused says that the request did not pass the checks of the entry.
	Refused(ctx context.Context, r *request.Request, p *problem.Problem, took time.Duration)
	// Completed says what the caller was told. p is nil for a whole answer.
	Completed(ctx context.Context, r *request.Request, o outcome.Outcome, p *problem.Problem, took time.Duration)
}
