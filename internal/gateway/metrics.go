package gateway

import "time"

// Metrics records the metrics of the gateway.
type Metrics interface {
	// CallEnded records a call and its duration by service and outcome.
	CallEnded(service, outcome string, duration time.Duration)
	// TeamCallEnded records a call of a team by outcome. It is not called for anonymous calls.
	TeamCallEnded(team, outcome string)
	// CallUnauthorized records a call that was refused because of its credential, by reason.
	CallUnauthorized(reason string)
	// CapRefused records a call that the usage cap of a team has refused.
	CapRefused(team string)
	// FactsAge records how old the facts are by which a request is sent, and how old the reading of
	// the domains that are taken out.
	FactsAge(facts, domainsOut time.Duration)
	// Sent counts a request that was sent, by what showed that its server was not leaving.
	Sent(evidence string)
}
