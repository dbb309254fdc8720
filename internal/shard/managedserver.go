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
type managedServer struct {
	config     ServerConfig
	target     *route.Target
	limiter    Limiter
	grants     grant.Book
	calls      chan call
	stopSender context.CancelFunc

	responsiveness    responsiveness
	unresponsiveSince time.Time
	callInFlight      bool
	calledAt          time.Time
	// nextCall is when the next call is due at the latest.
	nextCallAt time.Time
	// readyAt is when the first command may be sent: servers that do not check
	// tokens may still receive commands of the holder before.
	ordersAllowedFrom time.Time
	ordersAllowed     bool
	// list is the list to grant, sent the list of the last message.
	grantRanges []key.Range
	sentRanges  []key.Range
	leaving     bool
	removed     bool
	// stale reports that the server follows a holder with the token highest.
	followsHigherToken bool
	highestToken       authority.Token
}

// usable reports whether the server may be given ranges and requests.
func (s *managedServer) isUsable() bool {
	return s != nil && !s.removed && !s.leaving && !s.config.OutOfService
}

// answers reports whether the server acknowledged its last call.
func (s *managedServer) isResponsive() bool {
	return s != nil && s.responsiveness == responsive
}

// canTake reports whether a range may be granted to the server now.
func (s *managedServer) canTakeRange(now time.Time) bool {
	return s.isUsable() && s.isResponsive() && !now.Before(s.ordersAllowedFrom)
}

// lost reports whether the server is silent and provably owns nothing. A server
// that owned nothing counts as lost only after lostAfter, so that one late answer
// does not change standbys.
func (s *managedServer) isLost(now time.Time) bool {
	if s.responsiveness == unknown {
		return true
	}
	return s.responsiveness == unresponsive && !s.grants.EmptyBy().After(now) && now.Sub(s.unresponsiveSince) >= lostTimeout
}

// lostAfter is two renewal intervals.
const lostTimeout = 300 * time.Millisecond
