package problem

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Problem is the refusal or failure of a request, with its outcome and remedy. It
// is immutable; the With methods return copies.
type Problem struct {
	Kind    Kind
	Outcome outcome.Outcome
	// Message says what happened, including the relevant values.
	Message string
	// RetryAfter is how long the caller should wait before it resends the request; 0 means no advice.
	RetryAfter time.Duration
	// Stage is how far the request had progressed; see outcome.Classify.
	Stage outcome.Stage
	cause error
}

// New returns a problem of a request that failed at stage. Its outcome follows from the stage.
func New(kind Kind, stage outcome.Stage, format string, args ...any) *Problem {
	return &Problem{
		Kind:    kind,
		Stage:   stage,
		Outcome: outcome.Classify(stage, false).Outcome,
		Message: fmt.Sprintf(format, args...),
	}
}

// Wrap is like New, with an underlying cause for errors.Is and errors.As.
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

// Detail returns the message with the cause, for the event log.
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

// Remedy returns what the reader of the error can do about it.
func (p *Problem) Remedy() string {
	return remedies[p.Kind]
}

// WithRetryAfter returns a copy that tells the caller to wait for d before a resend.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy with another outcome, for failures whose outcome a
// request record determines.
func (p *Problem) WithOutcome(o outcome.Outcome) *Problem {
	c := *p
	c.Outcome = o
	return &c
}

// From returns the problem that err wraps. For any other error it returns an
// internal problem with outcome unknown.
func From(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	p = Wrap(err, KindInternal, outcome.StageWritten, "unexpected error")
	return p
}
