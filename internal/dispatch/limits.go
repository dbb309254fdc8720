package dispatch

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/progress"
	"peridotmoor.org/peridotmoor/internal/record"
)

// Limits are the settings of a service that apply to each of its requests.
type Limits struct {
	// MaxRetries limits the retries of one request; negative for none, 0 for
	// DefaultMaxRetries.
	MaxRetries     int
	DisableHedging bool
	// IdleTimeout ends the transfer of a streamed body that makes no progress; 0 for
	// progress.DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxRecordedResponseBytes is the size of the largest response body that is
	// recorded and replayed to resends of the request; 0 for the default.
	MaxRecordedResponseBytes int
	// MaxDeliveryTime is how long before the end of the tenure dispatches to servers
	// that do not check tokens stop; 0 for the default of 200 ms.
	MaxDeliveryTime time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxRetries == 0 {
		l.MaxRetries = DefaultMaxRetries
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = progress.DefaultIdleTimeout
	}
	if l.MaxRecordedResponseBytes <= 0 {
		l.MaxRecordedResponseBytes = record.MaxRecordedResponseBytes
	}
	if l.MaxDeliveryTime <= 0 {
		l.MaxDeliveryTime = defaultMaxDeliveryTime
	}
	return l
}
