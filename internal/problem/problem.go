package problem

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Problem is a refusal or failure with its outcome and remedy. It is immutable
// after construction; the With methods return copies.
type Problem struct {
	Kind    Kind
	Outcome outcome.Outcome
	// Message says what happened and with which values.
	Message string
	// RetryAfter is how long the caller should wait before it sends the request again; 0 means no advice.
	RetryAfter time.Duration
	// Stage is how far the request had come; see outcome.Conclude.
	Stage outcome.Stage
	cause error
}

// New returns a problem that ended at stage with the outcome that stage justifies.
func New(kind Kind, stage outcome.Stage, format string, args ...any) *Problem {
	return &Problem{
		Kind:    kind,
		Stage:   stage,
		Outcome: outcome.Classify(stage, false).Outcome,
		Message: fmt.Sprintf(format, args...),
	}
}

// Wrap is New with an underlying cause that errors.Is and errors.As can reach.
func Wrap(cause error, kind Kind, stage outcome.Stage, format string, args ...any) *Problem {
	p := New(kind, stage, format, args...)
	p.cause = cause
	return p
}

// Error returns the kind, message, cause and remedy in one line.
func (p *Problem) Error() string {
	text := fmt.Sprintf("%s: %s", p.Kind, p.Detail())
	if remedy := p.Remedy(); remedy != "" {
		text += "; " + remedy
	}
	return text
}

// Detail returns the message with the cause, for records.
func (p *Problem) Detail() string {
	if p.cause == nil {
		return p.Message
	}
	return p.Message + ": " + p.cause.Error()
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error {
	return p.cause
}

// Remedy says what the reader of the error can do about it.
func (p *Problem) Remedy() string {
	return remedies[p.Kind]
}

// WithRetryAfter returns a copy that advises the caller to wait for d.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy with another outcome, for failures that a record decides.
func (p *Problem) WithOutcome(o outcome.Outcome) *Problem {
	c := *p
	c.Outcome = o
	return &c
}

// From returns the problem in err's chain, or an internal problem with outcome
// unknown when there is none.
func From(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	p = Wrap(err, KindInternal, outcome.StageWritten, "unexpected error")
	return p
}
