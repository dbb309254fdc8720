package report

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// attributionLimit is the longest time between an installation of settings and a change of
// a server's state that is attributed to it. Settings are in effect everywhere within
// seconds, and the two records may be written in either order.
const attributionLimit = 5 * time.Second

// domainChanges derives the changes of a domain from what holders did with its servers:
// consecutive changes in the same direction under one settings version count as one.
func domainChanges(j *Journal, name string) []DomainChange {
	installed := installations(j)
	changes := []DomainChange{}
	for _, r := range j.Records {
		if r.Event == events.ServerStateChanged.Number && r.Text(fieldServerDomain) == name {
			changes = addChange(changes, r, nearestVersion(installed[r.Instance], r.At))
		}
	}
	for n := range changes {
		changes[n].addInstallations(j)
	}
	return changes
}

// installations returns the records of settings installations, by instance.
func installations(j *Journal) map[string][]*Record {
	installed := map[string][]*Record{}
	for _, r := range j.Records {
		if r.Event == events.SettingsInstalled.Number {
			installed[r.Instance] = append(installed[r.Instance], r)
		}
	}
	return installed
}

// nearestVersion returns the version whose installation was closest to at, or 0 if none
// lies within attributionLimit.
func nearestVersion(installed []*Record, at time.Time) int {
	version, nearest := 0, attributionLimit
	for _, r := range installed {
		if distance := r.At.Sub(at).Abs(); distance < nearest {
			version, nearest = int(r.Number(fieldInstalledVersion)), distance
		}
	}
	return version
}

func addChange(changes []DomainChange, r *Record, version int) []DomainChange {
	server := ServerChange{Server: r.Text(fieldServer), Shard: r.Text(fieldShard), Holder: r.Instance, At: r.At}
	last := len(changes) - 1
	if last < 0 || changes[last].OutOfService != r.Flag(fieldOut) || changes[last].Version != version {
		return append(changes, DomainChange{OutOfService: r.Flag(fieldOut), Version: version, Begin: r.At, Servers: []ServerChange{server}})
	}
	changes[last].Servers = append(changes[last].Servers, server)
	return changes
}

// addInstallations records when the version came into effect at each instance.
func (c *DomainChange) addInstallations(j *Journal) {
	if c.Version == 0 {
		return
	}
	for _, r := range j.Records {
		if r.Event == events.SettingsInstalled.Number && int(r.Number(fieldInstalledVersion)) == c.Version {
			c.InEffect = append(c.InEffect, InEffect{Instance: r.Instance, At: r.At})
		}
	}
	if len(c.InEffect) > 0 && c.InEffect[0].At.Before(c.Begin) {
		c.Begin = c.InEffect[0].At
	}
	for _, i := range j.Instances() {
		has := slices.ContainsFunc(c.InEffect, func(e InEffect) bool { return e.Instance == i.Name })
		if !has && !i.First.After(c.Begin) && !i.Last.Before(c.Begin) {
			c.NoInstallRecord = append(c.NoInstallRecord, i.Name)
		}
	}
}

// addEffects records what happened to the servers of the change within the window.
func (c *DomainChange) addEffects(j *Journal, w Window) {
	for _, r := range j.Records {
		if !w.Contains(r.At) {
			continue
		}
		switch r.Event {
		case events.MoveEnded.Number, events.OwnerReplaced.Number:
			c.addMove(r)
		case events.ServerCold.Number:
			if s := c.server(r.Text(fieldServer)); s != nil && s.ColdReason == "" {
				s.ColdReason = r.Text(fieldReason)
			}
		case events.RequestDispatched.Number:
			c.addDispatch(r)
		}
	}
}

// addMove counts a range that moved off a server taken out of service, or to one brought
// back.
func (c *DomainChange) addMove(r *Record) {
	field := fieldTo
	if c.OutOfService {
		field = fieldFrom
	}
	if c.server(r.Text(field)) == nil {
		return
	}
	if c.RangesMoved == 0 {
		c.FirstMove = r.At
	}
	c.RangesMoved++
	c.LastMove = r.At
}

func (c *DomainChange) addDispatch(r *Record) {
	s := c.server(r.Text(fieldServer))
	if s == nil {
		return
	}
	ref := &DispatchRef{At: r.At, RequestID: r.Text(fieldRequestID)}
	if s.FirstDispatch == nil {
		s.FirstDispatch = ref
	}
	s.LastDispatch = ref
	s.Dispatches++
	c.Dispatches++
}
