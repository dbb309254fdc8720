package gateway

// Outcome is what may be claimed about a call.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered means that a server's whole answer is passed on.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that the call has not run and never will.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
	// OutcomeTimedOut means that the call may have run and its time is up.
	OutcomeTimedOut
	// OutcomeNoRoute means that no route matches.
	OutcomeNoRoute
	// OutcomeUnreadable means that the call is not proper.
	OutcomeUnreadable
	// OutcomeTooLarge means that the body exceeds the limit.
	OutcomeTooLarge
	// OutcomeCallerGone means that nobody waits for an answer.
	OutcomeCallerGone
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "not-run", "unknown", "timed-out", "no-route", "unreadable", "too-large", "caller-gone"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
