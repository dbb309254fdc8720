package authority

import (
	"time"

	"github.com/pkg/errors"
)

// Timing contains the durations of the protocol. Each is measured on the local
// monotonic clock of the process that waits.
type Timing struct {
	// PromiseTTL is how long a witness refuses other instances after a promise.
	PromiseTTL time.Duration
	// RenewInterval is the time between renewals by a holder.
	RenewInterval time.Duration
	// RankDelay is the delay between the campaigns of witnesses with adjacent
	// ranks.
	RankDelay time.Duration
	// CampaignTimeout ends a campaign without a majority, which then releases
	// its promises.
	CampaignTimeout time.Duration
	// ReplaceAfter is how long a witness must be out of service before it is replaced.
	ReplaceAfter time.Duration
	// StableFor is how long an instance must be live before shards are handed
	// over to it.
	StableFor time.Duration
	// RecordCreationDelay is how long a new process collects the list of live
	// instances before it creates shard records.
	RecordCreationDelay time.Duration
	// ProbeInterval is the time between probes of one unresponsive witness.
	ProbeInterval time.Duration
	// RecordReadRetryMin and RecordReadRetryMax bound the backoff of record reads.
	RecordReadRetryMin, RecordReadRetryMax time.Duration
}

// maxClockDriftPercent is the largest difference between the rates of two
// clocks that the protocol tolerates. NTP slews by at most 0.05%, so 1% leaves
// a wide margin.
const maxClockDriftPercent = 1

// DefaultTiming returns the default durations. With them a takeover takes at
// most 600 ms for promises to expire, 40 ms of rank delay and round trips, and
// 200 ms of delivery margin.
func DefaultTiming() Timing {
	return Timing{
		PromiseTTL:          600 * time.Millisecond,
		RenewInterval:       150 * time.Millisecond,
		RankDelay:           20 * time.Millisecond,
		CampaignTimeout:     60 * time.Millisecond,
		ReplaceAfter:        time.Second,
		StableFor:           10 * time.Second,
		RecordCreationDelay: time.Second,
		ProbeInterval:       250 * time.Millisecond,
		RecordReadRetryMin:  200 * time.Millisecond,
		RecordReadRetryMax:  30 * time.Second,
	}
}

// Validate reports the first duration with which a holder could not keep a
// shard or take it over.
func (t Timing) Validate() error {
	for name, d := range map[string]time.Duration{
		"promise ttl": t.PromiseTTL, "renew interval": t.RenewInterval, "rank delay": t.RankDelay,
		"campaign timeout": t.CampaignTimeout, "probe interval": t.ProbeInterval,
		"minimum record read retry": t.RecordReadRetryMin,
	} {
		if d <= 0 {
			return errors.Errorf("authority: the %s is %v but must be positive", name, d)
		}
	}
	if t.PromiseTTL < 3*t.RenewInterval {
		return errors.Errorf("authority: the promise ttl %v is shorter than three renew intervals of %v, so two lost renewals would end a tenure; raise the ttl or lower the interval", t.PromiseTTL, t.RenewInterval)
	}
	if t.RecordReadRetryMax < t.RecordReadRetryMin {
		return errors.Errorf("authority: the maximum record read retry %v is below the minimum %v; raise the maximum", t.RecordReadRetryMax, t.RecordReadRetryMin)
	}
	return nil
}

// TenureEnd returns the end of a tenure whose requests were sent at the given
// time.
func (t Timing) TenureEnd(sent time.Time) time.Time {
	return sent.Add(t.PromiseTTL - t.PromiseTTL*maxClockDriftPercent/100)
}

// ExpiredAfter returns the duration after which any promise made before now has
// expired, measured on a clock other than the witness's.
func (t Timing) ExpiredAfter() time.Duration {
	return t.PromiseTTL + t.PromiseTTL*maxClockDriftPercent/100
}
