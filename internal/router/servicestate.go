package router

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/budget"
	"peridotmoor.org/peridotmoor/internal/choice"
	"peridotmoor.org/peridotmoor/internal/dispatch"
)

// serviceState is shared by all shards of one service in this instance.
type serviceState struct {
	retryBudget *budget.Budget
	hedgeDelay  choice.HedgeDelay
	limits      atomic.Pointer[dispatch.Limits]
}

func newServiceState(limits dispatch.Limits) *serviceState {
	s := &serviceState{retryBudget: budget.New()}
	s.limits.Store(&limits)
	return s
}
