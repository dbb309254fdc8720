package router

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// readiness tells whether the instance accepts requests from callers.
type readiness struct {
	ready atomic.Bool
	// stopping is set during a planned stop.
	stopping atomic.Bool
	// endsAt is when a planned stop aborts the requests in progress. It is nil while none
	// is in progress.
	endsAt atomic.Pointer[time.Time]
	// domainOutOfService is set while the failure domain of the instance is out of service.
	domainOutOfService atomic.Bool
}

// err returns the reason why the load balancer should not use the instance, or nil.
func (r *readiness) err() error {
	switch {
	case r.stopping.Load():
		return ErrStopping
	case !r.ready.Load():
		return ErrNoSettings
	case r.domainOutOfService.Load():
		return ErrDomainOutOfService
	default:
		return nil
	}
}

// refusal returns the reason why a request with the given deadline cannot be accepted, or
// nil. Requests that arrive during a planned stop are served, because the load balancer
// notices the change with a delay, except those that may last longer than the stop.
func (r *readiness) refusal(deadline time.Time) *problem.Problem {
	if !r.ready.Load() {
		return problem.Wrap(ErrNoSettings, problem.KindNotReady, outcome.StageEntry, "the instance is not ready")
	}
	if end := r.endsAt.Load(); end != nil && deadline.After(*end) {
		return problem.Wrap(ErrStopping, problem.KindNotReady, outcome.StageEntry, "the instance may end before the request")
	}
	return nil
}
