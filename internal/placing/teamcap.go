package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// UseLedger makes the scheduler keep the usage caps of teams by the ledger. With nil no team
// has a cap.
func (sched *Scheduler) UseLedger(ledger *usagecap.Ledger) {
	sched.ledger = ledger
}

// reserveForTeam reserves a request of the usage cap of the attempt's team, or refuses the
// attempt and returns false if the cap is used up. A request that has been submitted before
// was admitted then, but a hedge is refused beyond the cap.
func (sched *Scheduler) reserveForTeam(now time.Time, attempt *Attempt) bool {
	repeated := !attempt.Hedge && (attempt.isRetry() || attempt.Resubmitted)
	retryAfter, reserved := sched.ledger.Reserve(now, usagecap.Request(attempt.AttemptID), attempt.Team, repeated)
	if !reserved {
		sched.decisions = append(sched.decisions, Decision{
			AttemptID: attempt.AttemptID, Reason: ReasonTeamCap, RetryAfter: max(retryAfter, minRetryAfter),
			Allowance: sched.ledger.Allowance(attempt.Team, attempt.AttemptID.Instance),
		})
	}
	return reserved
}

// takeForTeam takes what is reserved for an attempt that is assigned, and returns the
// allowance of its instance.
func (sched *Scheduler) takeForTeam(now time.Time, w *queuedAttempt) usagecap.Allowance {
	if sched.ledger == nil || w.Team == "" {
		return usagecap.Allowance{}
	}
	return sched.ledger.Take(now, usagecap.Request(w.AttemptID), w.Deadline)
}

// releaseForTeam gives back what is reserved for an attempt that is refused, if anything is,
// and returns the allowance of its instance.
func (sched *Scheduler) releaseForTeam(attempt *Attempt) usagecap.Allowance {
	if sched.ledger == nil || attempt.Team == "" {
		return usagecap.Allowance{}
	}
	sched.ledger.Release(usagecap.Request(attempt.AttemptID))
	return sched.ledger.Allowance(attempt.Team, attempt.AttemptID.Instance)
}

// completeForTeam gives back what an attempt has taken that has provably not run, and takes
// what an instance has placed without the holder. Such an instance reports a decision of the
// same number that came too late by another completion, as unused.
func (sched *Scheduler) completeForTeam(now time.Time, completion *Completion) {
	if sched.ledger == nil {
		return
	}
	if completion.Team != "" {
		sched.ledger.Charge(now, completion.Team)
		return
	}
	sched.ledger.Complete(now, usagecap.Request(completion.AttemptID), completion.Outcome.MayHaveRun())
}
