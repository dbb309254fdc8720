package soak

import (
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

func (p *play) evidence(unserved []string) *check.Evidence {
	e := &check.Evidence{
		Attempts: p.attempts.Attempts(), Conflicts: p.owners.Conflicts(), Versions: p.configuration.accepted(), Impairments: p.impairments,
		Unserved: unserved, MovedRoute: movedRoute, AddedIn: addedIn, Arrivals: p.arrivals.All(), Bodies: p.arrivals.Bodies(), OddConnections: p.odd.seen(),
	}
	e.Runs, e.DroppedRuns = p.runs.Snapshot()
	for _, i := range p.instances {
		e.Processes = append(e.Processes, i.processRecords()...)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.StrayBytes, e.Limits, e.Departures, e.DomainsOut = p.stray, p.limits, p.departures, p.domainsOut
	return e
}
