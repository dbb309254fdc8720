package gateway

// Outcome is what is known about the execution of a call.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered means that a server's complete response is passed on.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that the call has not run and will not run.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
	// OutcomeTimedOut means that the call may have run and its deadline has passed.
	OutcomeTimedOut
	// OutcomeNoRoute means that no route matches.
	OutcomeNoRoute
	// OutcomeUnreadable means that the call is malformed or its body could not be read.
	OutcomeUnreadable
	// OutcomeTooLarge means that the body exceeds the size limit.
	OutcomeTooLarge
	// OutcomeCallerGone means that the caller left before the response, or that its
	// connection ended for another cause, which the detail of the reply states.
	OutcomeCallerGone
	// OutcomeUnauthorized means that the call has not run and will not run, because the caller
	// has not shown the key of a team.
	OutcomeUnauthorized
	// OutcomeOverCap means that the usage cap of the caller's team is used up. The call has
	// not run and will not run.
	OutcomeOverCap
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "not-run", "unknown", "timed-out", "no-route", "unreadable", "too-large", "caller-gone", "unauthorized", "over-cap"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
