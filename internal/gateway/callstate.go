package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// callState is the state of a call over its attempts.
type callState struct {
	route       string
	service     string
	version     int64
	deadline    time.Time
	contentHash uint64
	// sender is the last check of the credential before an attempt.
	sender authorization
	// server and serverDomain are those of the last attempt that may have been sent.
	server, serverDomain string
	// writtenAt is when the last attempt was written, and evidence what showed then that its
	// server was not leaving.
	writtenAt time.Time
	evidence  evidence
	// factsAge is how old the facts were by which the last attempt was sent, and domainsAge how old
	// the reading of the domains that are taken out.
	factsAge, domainsAge time.Duration
	sends                int
	unusedDecisions      int
	// mayHaveRun is set when an attempt ended without proof that the request did not run.
	mayHaveRun bool
	detail     string
}

// recordResult records an attempt that was not answered.
func (state *callState) recordResult(r AttemptResult) {
	state.detail = r.Outcome.String() + ": " + r.Detail
	switch r.Outcome {
	case placing.Lost, placing.Abandoned:
		state.mayHaveRun = true
	case placing.Unused:
		state.unusedDecisions++
	}
}

// hasSubmitted reports whether an attempt of the call has been assigned to a server before.
func (state *callState) hasSubmitted() bool {
	return state.sends > 0 || state.unusedDecisions > 0
}

// mayRetry reports whether the call may be sent again after an attempt with the
// given outcome. It must not be sent again if it may have run and is not idempotent,
// or if its body was streamed.
func (state *callState) mayRetry(call *Call, outcome placing.Outcome) bool {
	if state.mayHaveRun && !call.Route.Kind.Idempotent() || call.Body.Remainder != nil && state.sends > 0 {
		return false
	}
	if outcome == placing.Abandoned || state.unusedDecisions > maxSendsPerServer || state.sends >= maxSendsPerServer*call.Route.MaxAttempts {
		return false
	}
	distinct := map[string]bool{}
	for _, s := range call.Tried {
		distinct[s] = true
	}
	return len(distinct) < call.Route.MaxAttempts
}

// refusalReply returns the reply to a call whose next attempt was refused.
func (state *callState) refusalReply(decision placing.Decision) Reply {
	if state.mayHaveRun {
		return Reply{Outcome: OutcomeUnknown, Detail: state.detail + "; then " + decision.Reason.String()}
	}
	detail := decision.Reason.String()
	if state.detail != "" {
		detail = state.detail + "; then " + detail
	}
	outcome := OutcomeNotRun
	if decision.Reason == placing.ReasonTeamCap {
		outcome = OutcomeOverCap
	}
	return Reply{Outcome: outcome, RetryAfter: decision.RetryAfter, Detail: detail}
}

// limit returns how long the call may take: the shorter of its own timeout and that of
// its route. It is 0 for a call that was refused before that was known.
func (state *callState) limit(call *Call) time.Duration {
	if state.deadline.IsZero() {
		return 0
	}
	return state.deadline.Sub(call.ArrivedAt)
}

// interruptedReply returns the reply to a call whose context was cancelled with the given
// cause before it was answered.
func (state *callState) interruptedReply(cause error, reply Reply) Reply {
	switch {
	case errors.Is(cause, context.Canceled):
		reply.Outcome = OutcomeCallerGone
	case !errors.Is(cause, ErrInstanceEnded): // the caller's connection has ended for this cause
		reply.Outcome, reply.Detail = OutcomeCallerGone, cause.Error()
		if state.detail != "" {
			reply.Detail += "; " + state.detail
		}
	case state.mayHaveRun:
		reply = Reply{Outcome: OutcomeUnknown, Detail: cause.Error()}
	default:
		reply = Reply{Outcome: OutcomeNotRun, RetryAfter: retryAfterStopping, Detail: cause.Error()}
	}
	return reply
}

// finalReply returns the reply when no further attempt is made after a failed one.
func (state *callState) finalReply(ctx context.Context) Reply {
	switch {
	case !state.mayHaveRun:
		return Reply{Outcome: OutcomeNotRun, RetryAfter: defaultRetryAfter, Detail: state.detail}
	case ctx.Err() != nil:
		return Reply{Outcome: OutcomeTimedOut, Detail: state.detail}
	}
	return Reply{Outcome: OutcomeUnknown, Detail: state.detail}
}

// sentAfter returns how long after the arrival of the call its last attempt was written, or 0 if
// none was.
func (state *callState) sentAfter(call *Call) time.Duration {
	if state.writtenAt.IsZero() {
		return 0
	}
	return state.writtenAt.Sub(call.ArrivedAt)
}
