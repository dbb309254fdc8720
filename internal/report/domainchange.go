package report

import (
	"slices"
	"time"
)

// DomainChange is one departure or return.
type DomainChange struct {
	// OutOfService tells a departure from a return.
	OutOfService bool `json:"out"`
	// Version is the settings version that did it; 0 when no record names it.
	Version int `json:"settings_version"`
	// Begin is when the first instance had the version in effect, or else when
	// the first holder acted.
	Begin time.Time `json:"begin"`
	// InEffect is when each instance had the version in effect, in the order of time.
	InEffect []InEffect `json:"in_effect"`
	// NoInstallRecord are the instances with records of that time that have none of the version.
	NoInstallRecord []string `json:"without"`
	// Servers are the servers of the domain that holders took out or back.
	Servers []ServerChange `json:"servers"`
	// RangesMoved counts the moves of ranges off the servers, or back to them.
	RangesMoved int       `json:"ranges_moved"`
	FirstMove   time.Time `json:"first_move"`
	LastMove    time.Time `json:"last_move"`
	// Dispatches counts the dispatches to the servers until the next change of the domain.
	Dispatches int `json:"work"`
}

// InEffectEverywhereAt returns when the version was in effect at the last instance that recorded it.
func (c *DomainChange) InEffectEverywhereAt() time.Time {
	if len(c.InEffect) == 0 {
		return c.Begin
	}
	return c.InEffect[len(c.InEffect)-1].At
}

func (c *DomainChange) server(name string) *ServerChange {
	n := slices.IndexFunc(c.Servers, func(s ServerChange) bool { return s.Server == name })
	if n < 0 {
		return nil
	}
	return &c.Servers[n]
}
