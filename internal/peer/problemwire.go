package peer

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/problem"
)

func problemToWire(p *problem.Problem) *peerpb.Problem {
	return &peerpb.Problem{
		Kind:         string(p.Kind),
		Outcome:      string(p.Outcome),
		Message:      p.Message,
		RetryAfterMs: p.RetryAfter.Milliseconds(),
		Stage:        int32(p.Stage),
	}
}

// problemFromWire maps an undefined outcome to unknown.
func problemFromWire(wire *peerpb.Problem) *problem.Problem {
	p := problem.New(problem.Kind(wire.Kind), outcome.Stage(wire.Stage), "%s", wire.Message)
	p = p.WithRetryAfter(time.Duration(wire.RetryAfterMs) * time.Millisecond)
	switch o := outcome.Outcome(wire.Outcome); o {
	case outcome.NotRun, outcome.Answered, outcome.Unknown:
		return p.WithOutcome(o)
	default:
		return p.WithOutcome(outcome.Unknown)
	}
}
