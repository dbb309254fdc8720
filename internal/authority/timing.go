package authority

import (
	"time"

	"github.com/pkg/errors"
)

// Timing holds the durations of the protocol. All are measured on the local
// monotonic clock of the process that waits.
type Timing struct {
	// PromiseTTL is how long a witness refuses other holders after a promise.
	PromiseTTL time.Duration
	// RenewInterval is the time between two renewals of a holder.
	RenewInterval time.Duration
	// RankDelay separates the candidacies of witnesses of neighbouring ranks.
	RankDelay time.Duration
	// CampaignTimeout ends a candidacy without a majority; promises it got are given back.
	CampaignTimeout time.Duration
	// ReplaceAfter is how long a witness must be out of service before it is replaced.
	ReplaceAfter time.Duration
	// StableFor is how long an instance must be live before shards move to it in
	// an orderly way.
	StableFor time.Duration
	// RecordCreationDelay is how long a new process collects the list of live instances
	// before it creates shard records.
	RecordCreationDelay time.Duration
	// ProbeInterval separates two probes of one silent witness.
	ProbeInterval time.Duration
	// RecordReadRetryMin and RecordReadRetryMax bound the backoff of record reads.
	RecordReadRetryMin, RecordReadRetryMax time.Duration
}

// maxClockDriftPercent is the largest difference of the rates of two clocks that the
// protocol tolerates. NTP slews by at most 0.05%, so 1% leaves a wide margin.
const maxClockDriftPercent = 1

// DefaultTiming returns the durations of the design page: a takeover takes at
// most 600 ms + 40 ms of rank delay and round trips + 200 ms of delivery margin.
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

// Validate reports the first duration with which holders could not keep or take
// a shard.
func (t Timing) Validate() error {
	for name, d := range map[string]time.Duration{
		"promise ttl": t.PromiseTTL, "renew interval": t.RenewInterval, "rank delay": t.RankDelay,
		"campaign timeout": t.CampaignTimeout, "probe interval": t.ProbeInterval,
		"shortest load retry": t.RecordReadRetryMin,
	} {
		if d <= 0 {
			return errors.Errorf("authority: the %s is %v; it must be above 0", name, d)
		}
	}
	if t.PromiseTTL < 3*t.RenewInterval {
		return errors.Errorf("authority: the promise ttl %v is less than three renew intervals of %v, so two lost renewals would end a tenure; raise the first or lower the second", t.PromiseTTL, t.RenewInterval)
	}
	if t.RecordReadRetryMax < t.RecordReadRetryMin {
		return errors.Errorf("authority: the longest load retry %v is below the shortest %v; raise it", t.RecordReadRetryMax, t.RecordReadRetryMin)
	}
	return nil
}

// TenureEnd returns when a tenure ends whose requests were sent at sent.
func (t Timing) TenureEnd(sent time.Time) time.Time {
	return sent.Add(t.PromiseTTL - t.PromiseTTL*maxClockDriftPercent/100)
}

// ExpiredAfter returns a duration after which a promise made before now has
// expired, measured on a clock other than that of the witness.
func (t Timing) ExpiredAfter() time.Duration {
	return t.PromiseTTL + t.PromiseTTL*maxClockDriftPercent/100
}
