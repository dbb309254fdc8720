package authority

import "time"

// TerminationProofs holds the evidence that incarnations have terminated. An
// incarnation never returns, so a proof never expires.
type TerminationProofs struct {
	promiseExpiry time.Duration
	observedAt    map[Instance]time.Time
	retiredAt     map[string]time.Time
}

// NewTerminationProofs returns an empty collection. promiseExpiry is how long promises
// of a terminated witness may remain in force after the observation.
func NewTerminationProofs(promiseExpiry time.Duration) *TerminationProofs {
	return &TerminationProofs{promiseExpiry: promiseExpiry, observedAt: map[Instance]time.Time{}, retiredAt: map[string]time.Time{}}
}

// AddObservation records that the process of i was found terminated at now.
func (p *TerminationProofs) AddObservation(now time.Time, i Instance) {
	if _, known := p.observedAt[i]; !known {
		p.observedAt[i] = now
	}
}

// SetRetired replaces the list of instances that operators declare terminated.
// Entries are names, or name@incarnation for one run of an instance.
func (p *TerminationProofs) SetRetired(now time.Time, names []string) {
	retired := make(map[string]time.Time, len(names))
	for _, name := range names {
		retired[name] = now
		if since, known := p.retiredAt[name]; known {
			retired[name] = since
		}
	}
	p.retiredAt = retired
}

// IsRetired reports whether operators declared i terminated.
func (p *TerminationProofs) IsRetired(i Instance) bool {
	_, ok := p.retiredSince(i)
	return ok
}

// HasProof reports whether i is proven terminated, even if its promises may
// still be in force.
func (p *TerminationProofs) HasProof(i Instance) bool {
	_, ok := p.observedAt[i]
	return ok || p.IsRetired(i)
}

// PromisesExpired reports whether i is proven terminated and every promise it
// made has expired.
func (p *TerminationProofs) PromisesExpired(now time.Time, i Instance) bool {
	if since, ok := p.observedAt[i]; ok && !since.Add(p.promiseExpiry).After(now) {
		return true
	}
	since, ok := p.retiredSince(i)
	return ok && !since.Add(p.promiseExpiry).After(now)
}

func (p *TerminationProofs) retiredSince(i Instance) (time.Time, bool) {
	if since, ok := p.retiredAt[i.Name]; ok {
		return since, true
	}
	since, ok := p.retiredAt[i.String()]
	return since, ok
}
