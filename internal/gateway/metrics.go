package gateway

import "time"

// Metrics records the metrics of the gateway.
type Metrics interface {
	// CallEnded records a call and its duration by service and outcome.
	CallEnded(service, outcome string, duration time.Duration)
	// CapRefused records a call that the usage cap of a team has refused.
	CapRefused(team string)
	// FactsAge records how old the facts are by which a request is sent.
	FactsAge(age time.Duration)
}
