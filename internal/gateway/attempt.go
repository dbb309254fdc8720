package gateway

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// attempt is the state of a call on its way through servers.
type attempt struct {
	route    string
	service  string
	version  int64
	deadline time.Time
	mark     uint64
	// tried are the servers that the call reached.
	tried  []string
	server string
	sends  int
	unused int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	detail     string
}

func (a *attempt) note(r AttemptResult) {
	a.detail = r.Outcome.String() + ": " + r.Detail
	switch r.Outcome {
	case placing.Lost, placing.Abandoned:
		a.mayHaveRun = true
	case placing.Unused:
		a.unused++
	}
}

// asked reports whether the call has asked for a server before.
func (a *attempt) asked() bool {
	return a.sends > 0 || a.unused > 0
}

// mayRepeat reports whether the call may be sent again after an attempt ended so.
func (a *attempt) mayRepeat(call *Call, o placing.Outcome) bool {
	if a.mayHaveRun && !call.Route.Kind.Idempotent() || call.Body.Remainder != nil && a.sends > 0 {
		return false
	}
	if o == placing.Abandoned || a.unused > sendsPerServer || a.sends >= sendsPerServer*call.Route.MaxAttempts {
		return false
	}
	distinct := map[string]bool{}
	for _, s := range a.tried {
		distinct[s] = true
	}
	return len(distinct) < call.Route.MaxAttempts
}

// refused turns the holder's refusal into a reply.
func (a *attempt) refused(v placing.Decision) Reply {
	if a.mayHaveRun {
		return Reply{Outcome: OutcomeUnknown, Detail: a.detail + "; then " + v.Reason.String()}
	}
	detail := v.Reason.String()
	if a.detail != "" {
		detail = a.detail + "; then " + detail
	}
	return Reply{Outcome: OutcomeNotRun, RetryAfter: v.RetryAfter, Detail: detail}
}

// final is the reply when no further attempt is made.
func (a *attempt) final(ctx context.Context) Reply {
	switch {
	case !a.mayHaveRun:
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryDefault, Detail: a.detail}
	case ctx.Err() != nil:
		return Reply{Outcome: OutcomeTimedOut, Detail: a.detail}
	}
	return Reply{Outcome: OutcomeUnknown, Detail: a.detail}
}
