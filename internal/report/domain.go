package report

import (
	"slices"
	"time"
)

// Domain tells how a failure domain was taken out and brought back.
type Domain struct {
	Name string `json:"name"`
	// Changes are in the order of time. Without records of holders it is empty.
	Changes []DomainChange `json:"changes"`
	// Missing says which records are known to be missing; more may have happened.
	Missing []string `json:"missing"`
}

// DomainChange is one departure or return.
type DomainChange struct {
	// Out tells a departure from a return.
	Out bool `json:"out"`
	// Version is the settings version that did it; 0 when no record names it.
	Version int `json:"settings_version"`
	// Begin is when the first instance had the version in effect, or else when
	// the first holder acted.
	Begin time.Time `json:"begin"`
	// InEffect is when each instance had the version in effect, in the order of time.
	InEffect []InEffect `json:"in_effect"`
	// Without are the instances with records of that time that have none of the version.
	Without []string `json:"without"`
	// Servers are the servers of the domain that holders took out or back.
	Servers []ServerChange `json:"servers"`
	// Ranges counts the moves of ranges off the servers, or back to them.
	Ranges    int       `json:"ranges_moved"`
	FirstMove time.Time `json:"first_move"`
	LastMove  time.Time `json:"last_move"`
	// Work counts the dispatches to the servers until the next change of the domain.
	Work int `json:"work"`
}

// Until returns when the version was in effect at the last instance that recorded it.
func (c *DomainChange) Until() time.Time {
	if len(c.InEffect) == 0 {
		return c.Begin
	}
	return c.InEffect[len(c.InEffect)-1].At
}

// InEffect is the installation of a settings version at one instance.
type InEffect struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// ServerChange is what a change of its domain meant for one server.
type ServerChange struct {
	Server string    `json:"server"`
	Shard  string    `json:"shard"`
	Holder string    `json:"holder"`
	At     time.Time `json:"at"`
	// Cold says why the server was taken as cold after its return; empty otherwise.
	Cold string `json:"cold,omitempty"`
	// Work counts the dispatches to the server from Begin to the next change.
	Work int `json:"work"`
	// First and Last are the first and last of them; for a departure Last is the
	// last new work, and it is nil when there was none after Begin.
	First *Work `json:"first_work"`
	Last  *Work `json:"last_work"`
}

// Work is one dispatch to a server.
type Work struct {
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
}

// ExplainDomain tells the departures and returns of a failure domain.
func ExplainDomain(j *Journal, name string) Domain {
	d := Domain{Name: name, Changes: domainChanges(j, name), Missing: j.Losses()}
	for n := range d.Changes {
		until := time.Time{}
		if n+1 < len(d.Changes) {
			until = d.Changes[n+1].Begin
		}
		d.Changes[n].follow(j, Window{From: d.Changes[n].Begin, To: until})
	}
	return d
}

func (c *DomainChange) server(name string) *ServerChange {
	n := slices.IndexFunc(c.Servers, func(s ServerChange) bool { return s.Server == name })
	if n < 0 {
		return nil
	}
	return &c.Servers[n]
}
