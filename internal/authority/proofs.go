package authority

import "time"

// Proofs holds the evidence that incarnations are gone. An incarnation never
// returns, so a proof never expires.
type Proofs struct {
	wait     time.Duration
	observed map[Instance]time.Time
	retired  map[string]time.Time
}

// NewProofs returns an empty collection. wait is how long promises of a gone
// witness may still run after the observation.
func NewProofs(wait time.Duration) *Proofs {
	return &Proofs{wait: wait, observed: map[Instance]time.Time{}, retired: map[string]time.Time{}}
}

// Observe records that the process of i was found gone at now.
func (p *Proofs) Observe(now time.Time, i Instance) {
	if _, known := p.observed[i]; !known {
		p.observed[i] = now
	}
}

// Retire replaces the list of instances that operators declare gone. Entries are
// names, or name@incarnation for one run of an instance.
func (p *Proofs) Retire(now time.Time, names []string) {
	retired := make(map[string]time.Time, len(names))
	for _, name := range names {
		retired[name] = now
		if since, known := p.retired[name]; known {
			retired[name] = since
		}
	}
	p.retired = retired
}

// Retired reports whether operators declared i gone.
func (p *Proofs) Retired(i Instance) bool {
	_, ok := p.retiredSince(i)
	return ok
}

// Observed reports whether there is evidence, whose waiting time may still run.
func (p *Proofs) Observed(i Instance) bool {
	_, ok := p.observed[i]
	return ok || p.Retired(i)
}

// Gone reports whether i is proven gone and every promise it made has expired.
func (p *Proofs) Gone(now time.Time, i Instance) bool {
	if since, ok := p.observed[i]; ok && !since.Add(p.wait).After(now) {
		return true
	}
	since, ok := p.retiredSince(i)
	return ok && !since.Add(p.wait).After(now)
}

func (p *Proofs) retiredSince(i Instance) (time.Time, bool) {
	if since, ok := p.retired[i.Name]; ok {
		return since, true
	}
	since, ok := p.retired[i.String()]
	return since, ok
}
