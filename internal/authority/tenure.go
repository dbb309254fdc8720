package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Tenure is the time during which this instance holds a shard. It is immutable;
// each renewal publishes a new one.
type Tenure struct {
	Shard  key.ShardID
	Token  Token
	Holder Instance
	// Since is when the instance took over the shard, on the local monotonic
	// clock.
	Since time.Time
	// End is when the tenure expires unless it is renewed, on the local
	// monotonic clock. The margin for clock drift is already subtracted.
	End time.Time
	// Mirrors is the mirror set that a majority of the witnesses has acknowledged.
	Mirrors MirrorSet
}

// ValidAt reports whether the tenure covers an order that is sent at now and
// delivered within margin. A nil tenure is never valid.
func (t *Tenure) ValidAt(now time.Time, margin time.Duration) bool {
	return t != nil && now.Add(margin).Before(t.End)
}
