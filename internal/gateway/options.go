package gateway

import (
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Options holds what a Gateway needs. All fields but Log are required.
type Options struct {
	// Domain is the failure domain of the instance.
	Domain    string
	Registry  *facts.Registry
	Scheduler *SchedulerClient
	Backends  BackendClient
	Refresher FactsRefresher
	Prober    fleet.Prober
	Metrics   Metrics
	Log       *events.Logger
}
