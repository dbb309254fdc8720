// Package check compares what callers and backend servers saw during a soak with the
// promises of the platform's pages. It does no I/O.
package check

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// Evidence is what was seen while one seed was played.
type Evidence struct {
	Attempts    []*caller.Attempt
	Runs        []runlog.Execution
	DroppedRuns int
	Conflicts   []backend.Conflict
	Processes   []Process
	Versions    []Version
	Arrivals    []backend.Arrival
	Bodies      []backend.Body
	Limits      []backend.Limit
	Departures  []backend.Departure
	DomainsOut  []DomainOut
	Impairments *Impairments
	// StrayBytes describes bytes that arrived without a request.
	StrayBytes []string
	// OddConnections describes connections to addresses that only odd entries of the server list name.
	OddConnections []string
	// Unserved describes what was not served again in time after the last fault.
	Unserved []string
	// MovedRoute is the name of the route that moves with each version. AddedIn holds the
	// names of the routes that exist only from a version on.
	MovedRoute string
	AddedIn    map[string]int

	runs      map[string][]runlog.Execution
	processes map[processKey]*Process
	attempts  map[string]*caller.Attempt
}

// Violations returns all violations.
func (e *Evidence) Violations() []Violation {
	e.index()
	var all []Violation
	for _, check := range []func(*Evidence) []Violation{checkRuns, checkRefusals, checkAnswers, checkOwners, checkStops, checkCuts, checkRecovery, checkConfiguration, checkLeaving, checkDepartures, checkDomainsOut, checkPauses, checkLimits, checkOddEntries, checkBodies} {
		all = append(all, check(e)...)
	}
	return all
}

// index builds the look-up tables.
func (e *Evidence) index() {
	e.runs = map[string][]runlog.Execution{}
	for _, run := range e.Runs {
		e.runs[run.RequestID] = append(e.runs[run.RequestID], run)
	}
	e.attempts = map[string]*caller.Attempt{}
	for _, a := range e.Attempts {
		e.attempts[a.ID] = a
	}
	e.processes = map[processKey]*Process{}
	for i := range e.Processes {
		e.processes[processKey{e.Processes[i].Instance, e.Processes[i].Number}] = &e.Processes[i]
	}
}

// process returns the process that got the attempt.
func (e *Evidence) process(a *caller.Attempt) *Process {
	if p := e.processes[processKey{a.Instance, a.Process}]; p != nil {
		return p
	}
	return &Process{Instance: a.Instance, Number: a.Process}
}

// inTouch reports whether the process that got the attempt is held to time bounds at
// the given time: nothing has happened to it or to the store in the stable window before.
func (e *Evidence) inTouch(p *Process, at time.Time) bool {
	from := at.Add(-stableWindow)
	within := func(t time.Time) bool { return !t.IsZero() && !t.Before(from) && !t.After(at) }
	return !within(p.StartedAt) && !within(p.StoppedAt) && !within(p.HangupAt) && !within(p.KilledAt) &&
		!e.Impairments.any(p.Instance, from, at) && !e.Impairments.any(Store, from, at)
}
