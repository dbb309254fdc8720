package grant

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Tracker records what one server process may own: the list that it acknowledged
// last, and every message without an answer, which may still arrive until it has
// provably expired. It has one user at a time.
type Tracker struct {
	incarnation string
	echo        ClockReading
	last        uint64
	acked       Message
	open        []Message
}

// NextMessage returns the next message with the whole list of ranges, and records it
// as sent. It returns false when the book has no fresh reading of the server's
// clock or end has passed. Call it before the message leaves.
func (b *Tracker) NextMessage(ranges []key.Range, end, now time.Time) (Message, bool) {
	if !b.echo.Fresh(now) || !now.Before(end) {
		return Message{}, false
	}
	b.prune(now)
	b.last++
	expiry := b.echo.Expiry(end)
	message := Message{
		Number:      b.last,
		Ranges:      ranges,
		Incarnation: b.incarnation,
		Expiry:      expiry,
		ExpiredBy:   b.echo.ExpiredBy(expiry),
	}
	b.open = append(b.open, message)
	return message, true
}

// Cancel forgets a message that never left.
func (b *Tracker) Cancel(number uint64) {
	b.open = slices.DeleteFunc(b.open, func(m Message) bool { return m.Number == number })
}

// RecordResponse records the server's answer to the message with the given number, or to
// a question for the clock when number is 0. It reports whether the server has
// restarted since its last answer. A restarted server holds no grant.
func (b *Tracker) RecordResponse(number uint64, echo ClockReading, incarnation string) (restarted bool) {
	known := !b.echo.ReceivedAt.IsZero()
	b.echo = echo
	if known && incarnation != b.incarnation {
		b.incarnation = incarnation
		b.acked = Message{}
		b.open = nil
		return true
	}
	b.incarnation = incarnation
	for _, m := range b.open {
		if m.Number == number {
			b.acked = m
			break
		}
	}
	b.Cancel(number)
	return false
}

// HasGrant reports whether the server has acknowledged a grant of bounds that has
// not expired. A message of ours that is still on the way could take it back, so
// callers check the list they sent last as well.
func (b *Tracker) HasGrant(bounds key.Range, now time.Time) bool {
	return now.Before(b.acked.ExpiredBy) && covers(b.acked.Ranges, bounds)
}

// FreeBy returns the holder's time from which the server provably owns no part of
// bounds. A time that is not after now means that bounds is free.
func (b *Tracker) FreeBy(bounds key.Range) time.Time {
	free := time.Time{}
	if overlaps(b.acked.Ranges, bounds) {
		free = b.acked.ExpiredBy
	}
	for _, m := range b.open {
		if m.ExpiredBy.After(free) && overlaps(m.Ranges, bounds) {
			free = m.ExpiredBy
		}
	}
	return free
}

// AllFreeBy returns the holder's time from which the server provably owns nothing.
func (b *Tracker) AllFreeBy() time.Time {
	free := time.Time{}
	if len(b.acked.Ranges) > 0 {
		free = b.acked.ExpiredBy
	}
	for _, m := range b.open {
		if len(m.Ranges) > 0 && m.ExpiredBy.After(free) {
			free = m.ExpiredBy
		}
	}
	return free
}

// Incarnation returns the server's last known incarnation.
func (b *Tracker) Incarnation() string {
	return b.incarnation
}

// prune drops messages that have expired.
func (b *Tracker) prune(now time.Time) {
	b.open = slices.DeleteFunc(b.open, func(m Message) bool { return !now.Before(m.ExpiredBy) })
}
