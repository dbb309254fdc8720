package settings

import "time"

// Control holds the settings that have one value for the whole system.
type Control struct {
	PromiseTTL       time.Duration
	RenewInterval    time.Duration
	MaxDelivery      time.Duration
	MaxClockSkew     time.Duration
	RecordLimit      int // records per shard and instance
	AnswerLimit      int // bytes of a kept response body
	MaxMoves         int // ranges per second and shard
	ExchangeInterval time.Duration
	QuarantineTime   time.Duration
}
