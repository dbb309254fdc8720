package gateway

import "time"

// Metrics records the metrics of the gateway.
type Metrics interface {
	// CallEnded records a call and its duration by service and outcome.
	CallEnded(service, outcome string, duration time.Duration)
	// FactsAge records how old the facts are by which a request is sent.
	FactsAge(age time.Duration)
}
