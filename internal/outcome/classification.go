package outcome

// Classification is what a failure at a stage justifies.
type Classification struct {
	Outcome Outcome
	// Retryable reports whether the request may be sent again by the system itself,
	// within its deadline and the budget.
	Retryable bool
}

// Classify returns the verdict for a request that ended at stage.
// StageForwardSent allows a retry of every request because the record of the
// new holder decides whether it runs. A stage outside the table is Unknown.
func Classify(stage Stage, idempotent bool) Classification {
	switch stage {
	case StageEntry, StageQueued:
		return Classification{Outcome: NotRun}
	case StageForwardUnsent, StageConnect, StageRefusedByServer:
		return Classification{Outcome: NotRun, Retryable: true}
	case StageForwardSent:
		return Classification{Outcome: Unknown, Retryable: true}
	case StageComplete:
		return Classification{Outcome: Answered}
	case StageWritten:
		return Classification{Outcome: Unknown, Retryable: idempotent}
	default:
		return Classification{Outcome: Unknown}
	}
}
