package forward

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Observer is told about each decision on a request. It must not block.
type Observer interface {
	// Retried says that the request goes to a holder again because of p.
	Retried(r *request.Request, holder *Holder, p *problem.Problem)
	// Ended says how the request ended at this instance: with an answer or a problem.
	Ended(r *request.Request, answer *request.Response, p *problem.Problem, took time.Duration)
}
