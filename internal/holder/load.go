package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// delayedEvents is the wait of an event that is logged: instances wait 120 ms for a decision
	// before they place a request themselves.
	delayedEvents = 100 * time.Millisecond
	// delayLogInterval limits how often that is logged.
	delayLogInterval = time.Second
)

// Load is the load of a holder at its last tick.
type Load struct {
	// Followers is the number of instances that follow the holder, and Transferring of those
	// that get a listing in parts.
	Followers, Transferring int
	// QueuedEvents is the number of events that wait for the event loop.
	QueuedEvents int
	// Probes is the number of health checks under way.
	Probes int
}

// Load returns the load of the holder, or the zero value if this instance is not the holder. It
// is safe for concurrent use.
func (e *Elector) Load() Load {
	if c := e.coordinator.Load(); c != nil {
		if l := c.load.Load(); l != nil {
			return *l
		}
	}
	return Load{}
}

// Joins returns how many instances have joined this one as the holder, at any time.
func (e *Elector) Joins() uint64 {
	return e.joins.Load()
}

// measureLoad publishes the load, and queues an event that measures how long it waits.
func (c *Coordinator) measureLoad(now time.Time) {
	c.load.Store(&Load{Followers: len(c.followers), Transferring: len(c.joins.transferring), QueuedEvents: len(c.queue), Probes: len(c.probing)})
	select {
	case c.queue <- func() { c.eventDelayed(now, time.Now()) }:
	default:
	}
}

// eventDelayed records that an event queued at the given time is handled at now.
func (c *Coordinator) eventDelayed(queuedAt, now time.Time) {
	delay := now.Sub(queuedAt)
	if c.onEventDelay != nil {
		c.onEventDelay(delay)
	}
	if delay >= delayedEvents && now.Sub(c.delayLoggedAt) >= delayLogInterval {
		c.delayLoggedAt = now
		c.log.Emit(events.EventsDelayed, "epoch", c.epoch, "delay_ms", delay.Milliseconds(), "queued", len(c.queue), "followers", len(c.followers))
	}
}
