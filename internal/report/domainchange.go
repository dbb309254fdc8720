package report

import (
	"slices"
	"time"
)

// DomainChange is one change of a failure domain: it is taken out of service or brought
// back.
type DomainChange struct {
	// OutOfService is set if the domain was taken out of service, and not if it was
	// brought back.
	OutOfService bool `json:"out"`
	// Version is the settings version that made the change; 0 when no record names it.
	Version int `json:"settings_version"`
	// Begin is when the version came into effect at the first instance, or when the first
	// holder acted if that was earlier or no installation is recorded.
	Begin time.Time `json:"begin"`
	// InEffect lists when the version came into effect at each instance, in chronological
	// order.
	InEffect []InEffect `json:"in_effect"`
	// NoInstallRecord are the instances that wrote records at that time, but none of the
	// installation of the version.
	NoInstallRecord []string `json:"without"`
	// Servers are the servers of the domain that holders took out of service or brought
	// back.
	Servers []ServerChange `json:"servers"`
	// RangesMoved counts the ranges moved off the servers, or back to them.
	RangesMoved int       `json:"ranges_moved"`
	FirstMove   time.Time `json:"first_move"`
	LastMove    time.Time `json:"last_move"`
	// Dispatches counts the dispatches to the servers until the next change of the domain.
	Dispatches int `json:"work"`
}

// InEffectEverywhereAt returns when the version came into effect at the last instance that
// recorded it.
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
