package entry

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// refusal is the JSON body of a response that refuses a request.
type refusal struct {
	Kind         string `json:"kind"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	Remedy       string `json:"remedy"`
	RequestID    string `json:"request_id,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func refusalOf(r *request.Request, p *problem.Problem) refusal {
	return refusal{
		Kind:         string(p.Kind),
		Outcome:      string(p.Outcome),
		Message:      p.Message,
		Remedy:       p.Remedy(),
		RequestID:    r.ID,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
	}
}
