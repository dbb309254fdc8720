package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Explanation is what an instance would decide on a request now.
type Explanation struct {
	Domain string
	// SettingsVersion is that of the operators' configuration, or 0 without one.
	SettingsVersion int64
	// FactsKnown is set once the store has been read, and FactsAge is the time since then.
	// FactsTooOld is set if a request would first read the store, or ask the server.
	FactsKnown  bool
	FactsAge    time.Duration
	FactsTooOld bool
	// HolderLinked is set if the holder places requests, and not this instance by itself.
	HolderLinked bool
	HolderSilent time.Duration
	// Instances is the number of instances that follow the holder, or 0 if it is unknown.
	Instances int
	// Refusal is the reply if the request is refused on arrival, else nil.
	Refusal *Reply
	// Route is nil if none matches or the caller may not know. The fields below need one.
	Route *fleet.Route
	// Team is nil for an anonymous request.
	Team *ExplainedTeam
	Rank int
	// RetryIfNotRun and RetryIfLost tell whether a second attempt may follow a first one that
	// has provably not run, or that may have run.
	RetryIfNotRun, RetryIfLost bool
	// Services holds those to which the route may send the request.
	Services []ExplainedService
}
