package gateway

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// callState is the state of a call on its way through servers.
type callState struct {
	route       string
	service     string
	version     int64
	deadline    time.Time
	contentHash uint64
	// tried are the servers that the call reached.
	tried           []string
	server          string
	sends           int
	unusedDecisions int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	detail     string
}

func (a *callState) recordResult(r AttemptResult) {
	a.detail = r.Outcome.String() + ": " + r.Detail
	switch r.Outcome {
	case placing.Lost, placing.Abandoned:
		a.mayHaveRun = true
	case placing.Unused:
		a.unusedDecisions++
	}
}

// hasSubmitted reports whether the call has hasSubmitted for a server before.
func (a *callState) hasSubmitted() bool {
	return a.sends > 0 || a.unusedDecisions > 0
}

// mayRetry reports whether the call may be sent again after an attempt ended so.
func (a *callState) mayRetry(call *Call, o placing.Outcome) bool {
	if a.mayHaveRun && !call.Route.Kind.Idempotent() || call.Body.Remainder != nil && a.sends > 0 {
		return false
	}
	if o == placing.Abandoned || a.unusedDecisions > maxSendsPerServer || a.sends >= maxSendsPerServer*call.Route.MaxAttempts {
		return false
	}
	distinct := map[string]bool{}
	for _, s := range a.tried {
		distinct[s] = true
	}
	return len(distinct) < call.Route.MaxAttempts
}

// refusalReply turns the holder's refusal into a reply.
func (a *callState) refusalReply(v placing.Decision) Reply {
	if a.mayHaveRun {
		return Reply{Outcome: OutcomeUnknown, Detail: a.detail + "; then " + v.Reason.String()}
	}
	detail := v.Reason.String()
	if a.detail != "" {
		detail = a.detail + "; then " + detail
	}
	return Reply{Outcome: OutcomeNotRun, RetryAfter: v.RetryAfter, Detail: detail}
}

// finalReply is the reply when no further attempt is made.
func (a *callState) finalReply(ctx context.Context) Reply {
	switch {
	case !a.mayHaveRun:
		return Reply{Outcome: OutcomeNotRun, RetryAfter: defaultRetryAfter, Detail: a.detail}
	case ctx.Err() != nil:
		return Reply{Outcome: OutcomeTimedOut, Detail: a.detail}
	}
	return Reply{Outcome: OutcomeUnknown, Detail: a.detail}
}
