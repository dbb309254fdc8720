package soak

import (
	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

func (p *play) addStray(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stray = append(p.stray, err.Error())
}

func (p *play) addLimit(limit backend.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = append(p.limits, limit)
}

func (p *play) addDeparture(departure backend.Departure) {
	p.note("the store has accepted that %s leaves", departure.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.departures = append(p.departures, departure)
}

func (p *play) addDomainOut(d check.DomainOut) {
	p.note("%s is taken back", d.Domain)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domainsOut = append(p.domainsOut, d)
}
