package settings

import "time"

// Control holds the settings that have one value for the whole system.
type Control struct {
	PromiseTTL               time.Duration
	RenewInterval            time.Duration
	MaxDeliveryTime          time.Duration
	MaxClockSkew             time.Duration
	MaxRecords               int // per shard and instance
	MaxRecordedResponseBytes int // longest response body that a request record holds
	MaxMovesPerSecond        int // planned moves of ranges, per shard
	ExchangeInterval         time.Duration
	QuarantineDuration       time.Duration
}
