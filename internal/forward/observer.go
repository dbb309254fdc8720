package forward

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Observer is notified of retries and of the end of each request. It must not block.
type Observer interface {
	// Retried is called before a request is forwarded again because of p.
	Retried(r *request.Request, holder *Holder, p *problem.Problem)
	// Ended is called when a request has ended at this instance, with a response or a problem.
	Ended(r *request.Request, response *request.Response, p *problem.Problem, duration time.Duration)
}
