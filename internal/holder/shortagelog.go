package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// shortageLogInterval is the least time between two lines about a shortage of one service.
const shortageLogInterval = 5 * time.Second

// shortageLog logs how many requests were refused for want of capacity, and what became of
// their callers. The zero value is ready for use.
type shortageLog struct {
	// logged holds the counts of each service as of loggedAt.
	logged   map[string]placing.Shortage
	loggedAt time.Time
}

// logShortages logs the services that have refused requests since the last lines, and
// publishes the counts for the metrics.
func (c *Coordinator) logShortages(now time.Time) {
	l := &c.shortageLog
	if now.Sub(l.loggedAt) < shortageLogInterval {
		return
	}
	l.loggedAt = now
	all := map[string]placing.Shortage{}
	c.scheduler.Shortages(func(service string, s placing.Shortage) {
		all[service] = s
		last := l.logged[service]
		if s.Refused == last.Refused {
			return
		}
		c.log.Emit(events.CapacityInsufficient, "service", service, "refused", s.Refused-last.Refused, "overtaken", s.Overtaken-last.Overtaken,
			"places", s.Places-last.Places, "returned", s.Returned-last.Returned, "places_taken", s.PlacesTaken-last.PlacesTaken)
	})
	l.logged = all
	c.shortages.Store(&all)
}
