package record

import "time"

// Defaults of the settings record_retention, max_clock_skew and record_limit.
const (
	DefaultRetention    = 120 * time.Second
	DefaultMaxClockSkew = 2 * time.Second
	DefaultMaxRecords   = 65536
	// DefaultMaxTotalResponseBytes bounds the kept answers of one shard.
	DefaultMaxTotalResponseBytes = 16 << 20
)

// Options configures the records of one shard.
type Options struct {
	// Retention is how long after its creation a request ID is accepted.
	Retention time.Duration
	// MaxClockSkew is how far a caller's clock may be ahead.
	MaxClockSkew time.Duration
	// MaxRecords is the largest number of records.
	MaxRecords int
	// MaxTotalResponseBytes bounds the bodies of kept answers; beyond it answers are not kept.
	MaxTotalResponseBytes int64
}

func (o Options) withDefaults() Options {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxClockSkew <= 0 {
		o.MaxClockSkew = DefaultMaxClockSkew
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxTotalResponseBytes <= 0 {
		o.MaxTotalResponseBytes = DefaultMaxTotalResponseBytes
	}
	return o
}

// bucketCount is the number of seconds of which creation times may be in the table.
func (o Options) bucketCount() int {
	return int((o.Retention+2*o.MaxClockSkew)/time.Second) + 3
}
