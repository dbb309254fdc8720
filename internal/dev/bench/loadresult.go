package bench

// loadResult is the latencies of one stretch of the load.
type loadResult struct {
	reads  *latencyRecorder
	writes *latencyRecorder
}

func newLoadResult() loadResult {
	return loadResult{reads: newLatencyRecorder(), writes: newLatencyRecorder()}
}
