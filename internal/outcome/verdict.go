package outcome

// Verdict is what a failure at a stage justifies.
type Verdict struct {
	Outcome Outcome
	// Retry reports whether the request may be sent again by the system itself,
	// within its deadline and the budget.
	Retry bool
}

// Conclude returns the verdict for a request that ended at stage.
// StageForwardSent allows a retry of every request because the record of the
// new holder decides whether it runs. A stage outside the table is Unknown.
func Conclude(stage Stage, idempotent bool) Verdict {
	switch stage {
	case StageEntry, StageQueued:
		return Verdict{Outcome: NotRun}
	case StageForwardUnsent, StageConnect, StageRefusedByServer:
		return Verdict{Outcome: NotRun, Retry: true}
	case StageForwardSent:
		return Verdict{Outcome: Unknown, Retry: true}
	case StageComplete:
		return Verdict{Outcome: Answered}
	case StageWritten:
		return Verdict{Outcome: Unknown, Retry: idempotent}
	default:
		return Verdict{Outcome: Unknown}
	}
}
