package router

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// readiness says whether the instance takes requests of callers.
type readiness struct {
	ready    atomic.Bool
	stopping atomic.Bool
	// domainOutOfService reports that the failure domain of the instance is domainOutOfService.
	domainOutOfService atomic.Bool
}

// err returns why the balancer should not use the instance, or nil.
func (r *readiness) err() error {
	switch {
	case r.stopping.Load():
		return ErrStopping
	case !r.ready.Load():
		return ErrNoSettings
	case r.domainOutOfService.Load():
		return ErrDomainOut
	default:
		return nil
	}
}

// refusal returns why a request cannot be taken, or nil. During a planned stop
// requests that still arrive are served, because the balancer's list lags.
func (r *readiness) refusal() *problem.Problem {
	if r.ready.Load() {
		return nil
	}
	return problem.Wrap(ErrNoSettings, problem.KindNotReady, outcome.StageEntry, "the instance is not ready")
}
