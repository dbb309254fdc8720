package grant

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Tracker records the key ranges that one process of a backend server may own:
// the list of ranges that it acknowledged last, and each unacknowledged message,
// which may still arrive until it has provably expired. It is not safe for
// concurrent use.
type Tracker struct {
	incarnation    string
	clock          ClockReading
	lastNumber     uint64
	acknowledged   Message
	unacknowledged []Message
}

// NextMessage returns the next message with the complete list of ranges and
// records it as sent. It returns false when there is no recent reading of the
// server's clock or when end has passed. It must be called before the message is
// sent.
func (t *Tracker) NextMessage(ranges []key.Range, end, now time.Time) (Message, bool) {
	if !t.clock.Fresh(now) || !now.Before(end) {
		return Message{}, false
	}
	t.dropExpired(now)
	t.lastNumber++
	expiry := t.clock.Expiry(end)
	message := Message{
		Number:      t.lastNumber,
		Ranges:      ranges,
		Incarnation: t.incarnation,
		Expiry:      expiry,
		ExpiredBy:   t.clock.ExpiredBy(expiry),
	}
	t.unacknowledged = append(t.unacknowledged, message)
	return message, true
}

// Cancel removes a message that was never sent.
func (t *Tracker) Cancel(number uint64) {
	t.unacknowledged = slices.DeleteFunc(t.unacknowledged, func(m Message) bool { return m.Number == number })
}

// RecordResponse records the server's response to the message with the given
// number, or to a request for its clock when number is 0. It reports whether the
// server has restarted since its last response. A restarted server has no
// grants.
func (t *Tracker) RecordResponse(number uint64, clock ClockReading, incarnation string) (restarted bool) {
	hadResponse := !t.clock.ReceivedAt.IsZero()
	t.clock = clock
	if hadResponse && incarnation != t.incarnation {
		t.incarnation = incarnation
		t.acknowledged = Message{}
		t.unacknowledged = nil
		return true
	}
	t.incarnation = incarnation
	for _, m := range t.unacknowledged {
		if m.Number == number {
			t.acknowledged = m
			break
		}
	}
	t.Cancel(number)
	return false
}

// HasGrant reports whether the server has acknowledged a grant of bounds that
// has not expired. A later message that is still in transit may revoke the
// grant, so callers must also check the list that they sent last.
func (t *Tracker) HasGrant(bounds key.Range, now time.Time) bool {
	return now.Before(t.acknowledged.ExpiredBy) && covers(t.acknowledged.Ranges, bounds)
}

// FreeBy returns the holder's time from which the server provably owns no part
// of bounds. When it is not after the present time, bounds is free.
func (t *Tracker) FreeBy(bounds key.Range) time.Time {
	free := time.Time{}
	if overlaps(t.acknowledged.Ranges, bounds) {
		free = t.acknowledged.ExpiredBy
	}
	for _, m := range t.unacknowledged {
		if m.ExpiredBy.After(free) && overlaps(m.Ranges, bounds) {
			free = m.ExpiredBy
		}
	}
	return free
}

// AllFreeBy returns the holder's time from which the server provably owns
// nothing.
func (t *Tracker) AllFreeBy() time.Time {
	free := time.Time{}
	if len(t.acknowledged.Ranges) > 0 {
		free = t.acknowledged.ExpiredBy
	}
	for _, m := range t.unacknowledged {
		if len(m.Ranges) > 0 && m.ExpiredBy.After(free) {
			free = m.ExpiredBy
		}
	}
	return free
}

// Incarnation returns the last known incarnation of the server.
func (t *Tracker) Incarnation() string {
	return t.incarnation
}

// dropExpired removes unacknowledged messages that have expired.
func (t *Tracker) dropExpired(now time.Time) {
	t.unacknowledged = slices.DeleteFunc(t.unacknowledged, func(m Message) bool { return !now.Before(m.ExpiredBy) })
}
