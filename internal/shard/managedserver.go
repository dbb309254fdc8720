package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// managedServer is the coordinator's state of one backend server.
type managedServer struct {
	config     ServerConfig
	target     *route.Target
	limiter    Limiter
	grants     grant.Tracker
	calls      chan call
	stopSender context.CancelFunc

	responsiveness    responsiveness
	unresponsiveSince time.Time
	// unansweredSince is when the first call was made that an unresponsive server did not
	// answer.
	unansweredSince time.Time
	callInFlight    bool
	calledAt        time.Time
	// nextCallAt is when the next call is due at the latest.
	nextCallAt time.Time
	// ordersAllowedFrom is when the first order may be sent: until then, a server that
	// does not check tokens may still receive orders of the previous holder.
	ordersAllowedFrom time.Time
	ordersAllowed     bool
	// grantRanges are the ranges to grant to the server, sentRanges those of the last
	// message.
	grantRanges []key.Range
	sentRanges  []key.Range
	leaving     bool
	removed     bool
	// followsHigherToken reports that the server follows another holder, with the token
	// highestToken.
	followsHigherToken bool
	highestToken       authority.Token
}

// isUsable reports whether the server may be given ranges and requests.
func (s *managedServer) isUsable() bool {
	return s != nil && !s.removed && !s.leaving && !s.config.OutOfService
}

// isResponsive reports whether the server acknowledged its last call.
func (s *managedServer) isResponsive() bool {
	return s != nil && s.responsiveness == responsive
}

// canTakeRange reports whether a range may be granted to the server now.
func (s *managedServer) canTakeRange(now time.Time) bool {
	return s.isUsable() && s.isResponsive() && !now.Before(s.ordersAllowedFrom)
}

// isLost reports whether the server counts as lost: its first call has not ended, or it
// has been unresponsive for lostTimeout and provably owns nothing. Without the timeout,
// one late response of a server that owns nothing would change standbys.
func (s *managedServer) isLost(now time.Time) bool {
	if s.responsiveness == unknown {
		return true
	}
	return s.responsiveness == unresponsive && !s.grants.AllFreeBy().After(now) && now.Sub(s.unresponsiveSince) >= lostTimeout
}

// isSilent reports whether the server has not answered for lostTimeout. It may still own
// ranges.
func (s *managedServer) isSilent(now time.Time) bool {
	return s.responsiveness == unresponsive && now.Sub(s.unansweredSince) >= lostTimeout
}

// lostTimeout is two renewal intervals.
const lostTimeout = 300 * time.Millisecond
