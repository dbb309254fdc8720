package bench

// loadResult holds the latencies and outcomes of the requests of one period.
type loadResult struct {
	reads  *latencyRecorder
	writes *latencyRecorder
}

func newLoadResult() loadResult {
	return loadResult{reads: newLatencyRecorder(), writes: newLatencyRecorder()}
}
