package outcome

// Classification is what a failure at a given stage means for the request.
type Classification struct {
	Outcome Outcome
	// Retryable reports whether the system itself may send the request again, within
	// its deadline and the retry budget.
	Retryable bool
}

// Classify returns the classification of a request that ended at stage. At
// StageForwardSent every request may be retried, because the new holder's request
// record determines whether it runs. An undefined stage has outcome Unknown.
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
