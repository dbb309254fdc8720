package record

import "time"

// Defaults of the settings record_retention, max_clock_skew and record_limit, and of
// Options.MaxTotalResponseBytes.
const (
	DefaultRetention             = 120 * time.Second
	DefaultMaxClockSkew          = 2 * time.Second
	DefaultMaxRecords            = 65536
	DefaultMaxTotalResponseBytes = 16 << 20
)

// Options configures the records of one shard.
type Options struct {
	// Retention is how long after its creation a request ID is accepted and its record kept.
	Retention time.Duration
	// MaxClockSkew is how far the creation time of a request may be ahead of the local clock.
	MaxClockSkew time.Duration
	// MaxRecords is the largest number of records of a shard.
	MaxRecords int
	// MaxTotalResponseBytes bounds the bodies of the recorded responses of a shard. Beyond
	// it, responses are not recorded.
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

// bucketCount returns over how many seconds the creation times in the table may spread.
func (o Options) bucketCount() int {
	return int((o.Retention+2*o.MaxClockSkew)/time.Second) + 3
}
