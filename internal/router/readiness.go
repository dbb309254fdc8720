package router

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// readiness tells whether the instance accepts requests from callers.
type readiness struct {
	ready atomic.Bool
	// stopping is set during a planned stop.
	stopping atomic.Bool
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

// refusal returns the reason why a request cannot be accepted, or nil. Requests that
// arrive during a planned stop are served, because the load balancer notices the change
// with a delay.
func (r *readiness) refusal() *problem.Problem {
	if r.ready.Load() {
		return nil
	}
	return problem.Wrap(ErrNoSettings, problem.KindNotReady, outcome.StageEntry, "the instance is not ready")
}
