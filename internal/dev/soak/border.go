package soak

import (
	"sync"

	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// storeDomain stands for the place of the store, which is in no failure domain.
const storeDomain = "store"

// border applies the cuts of failure domains to all connections between processes of
// different domains, and to those with the store. Callers reach all domains.
type border struct {
	p  *play
	mu sync.Mutex
	// cuts are those in progress.
	cuts map[*domainCut]bool
}

func newBorder(p *play) *border {
	return &border{p: p, cuts: map[*domainCut]bool{}}
}

// begin begins a cut and returns the function that ends it.
func (b *border) begin(cut domainCut) (end func()) {
	b.set(&cut, true)
	return func() { b.set(&cut, false) }
}

func (b *border) set(cut *domainCut, inProgress bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if inProgress {
		b.cuts[cut] = true
	} else {
		delete(b.cuts, cut)
	}
	for _, i := range b.p.instances {
		i.peers.SetSourceFaults(b.faultsInto(i.caller.Domain))
		i.store.SetSourceFaults(b.faultsInto(storeDomain))
	}
	for n, s := range b.p.servers {
		s.SetSourceFaults(b.faultsInto(domainName(n)))
		s.SetStoreUnreachable(b.holdsReports(domainName(n)))
	}
}

// faultsInto returns the faults of connections to processes of the domain, by the domain
// of the client.
func (b *border) faultsInto(domain string) map[string]tcpproxy.Fault {
	faults := map[string]tcpproxy.Fault{}
	for n := range domainCount {
		client := domainName(n)
		for cut := range b.cuts {
			if (cut.domain == client) == (cut.domain == domain) {
				continue
			}
			fault := cut.direction.fault(cut.domain == client)
			if other, found := faults[client]; found {
				fault = combine(fault, other)
			}
			faults[client] = fault
		}
	}
	return faults
}

// holdsReports reports whether the status reports of the servers in the domain do not reach
// the store.
func (b *border) holdsReports(domain string) bool {
	for cut := range b.cuts {
		if cut.domain == domain && cut.direction != cutInbound {
			return true
		}
	}
	return false
}

// combine returns the fault of a connection that two cuts affect.
func combine(a, b tcpproxy.Fault) tcpproxy.Fault {
	switch {
	case a.Kind == tcpproxy.FaultReset:
		return a
	case a.Kind == b.Kind, b.Kind == tcpproxy.FaultReset:
		return b
	}
	return tcpproxy.Fault{Kind: tcpproxy.FaultSilent, Share: 1}
}
