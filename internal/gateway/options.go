package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Options holds what a Gateway needs. All fields but Log, HedgeShare and HedgeMetrics are
// required.
type Options struct {
	// Domain is the failure domain of the instance.
	Domain    string
	Registry  *facts.Registry
	Scheduler *SchedulerClient
	Backends  BackendClient
	Refresher FactsRefresher
	// DomainsRefresher reads only the failure domains that are taken out.
	DomainsRefresher FactsRefresher
	// DomainOutLimit is how long after the operators have taken a failure domain out its servers
	// may still get requests.
	DomainOutLimit time.Duration
	Prober         fleet.Prober
	Metrics        Metrics
	Log            *events.Logger
	// HedgeShare is the share of hedges that the holder allows, or 0 if none are to be sent.
	// HedgeMetrics is required if it is above 0.
	HedgeShare   float64
	HedgeMetrics HedgeMetrics
}
