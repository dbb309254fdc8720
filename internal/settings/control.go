package settings

import "time"

// Control holds the settings that have one value for the whole system.
type Control struct {
	PromiseTTL               time.Duration
	RenewInterval            time.Duration
	MaxDeliveryTime          time.Duration
	MaxClockSkew             time.Duration
	MaxRecords               int // records per shard and instance
	MaxRecordedResponseBytes int // bytes of a kept response body
	MaxMovesPerSecond        int // ranges per second and shard
	ExchangeInterval         time.Duration
	QuarantineDuration       time.Duration
}
