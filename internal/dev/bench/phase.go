package bench

// phase is the latencies of one stretch of the load.
type phase struct {
	reads  *latencies
	orders *latencies
}

func newPhase() phase {
	return phase{reads: newLatencies(), orders: newLatencies()}
}
