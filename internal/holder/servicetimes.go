package holder

import "time"

// timesRecordDue reports whether the record must be written because several service times have
// been learned since it was. Other writes of the record carry them too.
func (c *Coordinator) timesRecordDue(now time.Time) bool {
	if now.Sub(c.storedAt) < timesRecordInterval || now.Sub(c.timesCheckedAt) < timesRecordInterval {
		return false
	}
	c.timesCheckedAt = now
	return c.scheduler.RelativeTimes().Changes(c.recordedTimes) >= minChangedTimes
}
