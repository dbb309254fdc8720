package caller

import "math/rand/v2"

// Balancer selects instances for new connections by the rules of the platform's pages.
type Balancer struct {
	Instances []*Instance
}

// Pick returns an instance of the domain that is in rotation, seldom the one to avoid.
// If fewer than half of the domain's instances are in rotation, all of them count; if
// none is, those of the other domains.
func (b *Balancer) Pick(random *rand.Rand, domain string, avoid *Instance) *Instance {
	all, ready := b.inDomain(func(d string) bool { return d == domain })
	switch {
	case len(ready) == 0:
		if _, ready = b.inDomain(func(d string) bool { return d != domain }); len(ready) == 0 {
			ready = all
		}
	case 2*len(ready) < len(all):
		ready = all
	}
	picked := ready[random.IntN(len(ready))]
	if picked == avoid {
		picked = ready[random.IntN(len(ready))]
	}
	return picked
}

// inDomain returns all instances of the domains and those of them in rotation.
func (b *Balancer) inDomain(selected func(string) bool) (all, ready []*Instance) {
	for _, i := range b.Instances {
		if !selected(i.Domain) {
			continue
		}
		all = append(all, i)
		if i.Ready() {
			ready = append(ready, i)
		}
	}
	return all, ready
}
