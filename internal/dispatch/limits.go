package dispatch

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/progress"
	"peridotmoor.org/peridotmoor/internal/record"
)

// Limits are the settings of a service that a request reads.
type Limits struct {
	// MaxRetries is the number of retries of one request; negative for none, 0 for the default.
	MaxRetries int
	// NoHedge forbids hedging.
	NoHedge bool
	// IdleTimeout ends a streamed body that makes no progress; 0 for the default.
	IdleTimeout time.Duration
	// AnswerLimit is the largest answer body in bytes that is kept for resends; 0 for the default.
	AnswerLimit int
	// MaxDelivery replaces the delivery margin; 0 for the default of 200 ms.
	MaxDelivery time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxRetries == 0 {
		l.MaxRetries = DefaultMaxRetries
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = progress.IdleTimeout
	}
	if l.AnswerLimit <= 0 {
		l.AnswerLimit = record.MaxRecordedResponseBytes
	}
	if l.MaxDelivery <= 0 {
		l.MaxDelivery = maxDelivery
	}
	return l
}
