package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// link is what a term knows about one backend server.
type link struct {
	config ServerConfig
	target *route.Target
	gate   Gate
	book   grant.Tracker
	calls  chan call
	stop   context.CancelFunc

	condition   condition
	silentSince time.Time
	busy        bool
	calledAt    time.Time
	// nextCall is when the next call is due at the latest.
	nextCall time.Time
	// readyAt is when the first command may be sent: servers that do not check
	// tokens may still receive commands of the holder before.
	readyAt time.Time
	ready   bool
	// list is the list to grant, sent the list of the last message.
	list    []key.Range
	sent    []key.Range
	leaving bool
	removed bool
	// stale reports that the server follows a holder with the token highest.
	stale   bool
	highest authority.Token
}

// usable reports whether the server may be given ranges and requests.
func (l *link) usable() bool {
	return l != nil && !l.removed && !l.leaving && !l.config.Out
}

// answers reports whether the server acknowledged its last call.
func (l *link) answers() bool {
	return l != nil && l.condition == answering
}

// canTake reports whether a range may be granted to the server now.
func (l *link) canTake(now time.Time) bool {
	return l.usable() && l.answers() && !now.Before(l.readyAt)
}

// lost reports whether the server is silent and provably owns nothing. A server
// that owned nothing counts as lost only after lostAfter, so that one late answer
// does not change standbys.
func (l *link) lost(now time.Time) bool {
	if l.condition == unknown {
		return true
	}
	return l.condition == silent && !l.book.AllFreeBy().After(now) && now.Sub(l.silentSince) >= lostAfter
}

// lostAfter is two renewal intervals.
const lostAfter = 300 * time.Millisecond
