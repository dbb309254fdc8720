package check

import (
	"fmt"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkDomainsOut finds requests that reached a server too long after the store had accepted that
// its failure domain is taken out, from instances in touch, and domains that got nothing soon
// after they were taken back.
func checkDomainsOut(e *Evidence) []Violation {
	var found []Violation
	e.inDomainsOut(func(a *caller.Attempt, d DomainOut, at time.Time) {
		if after := at.Sub(d.AckedAt); after > domainOutTime && e.inTouch(e.process(a), at) {
			found = append(found, Violation{"domain out", fmt.Sprintf("%s reached %s from %s process %d %.3f s after the store had accepted that it is taken out",
				a.ID, d.Domain, a.Instance, a.Process, after.Seconds()), []string{a.ID}})
		}
	})
	for n, d := range e.DomainsOut {
		if until := d.TakenBackAt.Add(domainBackTime); !d.TakenBackAt.IsZero() && e.servesAll(until) && !e.takenOutAgain(n, until) && !e.reached(d.Domain, d.TakenBackAt, until) {
			found = append(found, Violation{"domain back", fmt.Sprintf("%s got no request within %v after it was taken back", d.Domain, domainBackTime), nil})
		}
	}
	return found
}

// inDomainsOut calls visit with each request that reached a server of a domain while that was
// taken out. A freeze of the instance in between excuses it.
func (e *Evidence) inDomainsOut(visit func(a *caller.Attempt, d DomainOut, at time.Time)) {
	for _, d := range e.DomainsOut {
		for _, arrival := range e.Arrivals {
			a := e.attempts[arrival.RequestID]
			if arrival.Domain == d.Domain && d.holds(arrival.At) && a != nil && !e.Impairments.any(Freeze(a.Instance), d.AckedAt, arrival.At) {
				visit(a, d, arrival.At)
			}
		}
	}
}

// servesAll reports whether requests still arrived at the given time, and neither the store nor
// all instances were impaired shortly before it.
func (e *Evidence) servesAll(at time.Time) bool {
	if len(e.Arrivals) == 0 || e.Arrivals[len(e.Arrivals)-1].At.Before(at) || e.Impairments.any(Store, at.Add(-domainBackTime-stableWindow), at) {
		return false
	}
	return slices.ContainsFunc(e.Processes, func(p Process) bool { return e.inTouch(&p, at) })
}

// takenOutAgain reports whether the domain of the n-th time was out again before the given time.
func (e *Evidence) takenOutAgain(n int, until time.Time) bool {
	return slices.ContainsFunc(e.DomainsOut[n+1:], func(d DomainOut) bool {
		return d.Domain == e.DomainsOut[n].Domain && d.AckedAt.Before(until)
	})
}

func (e *Evidence) reached(domain string, from, until time.Time) bool {
	for _, arrival := range e.Arrivals {
		if arrival.Domain == domain && arrival.At.After(from) && arrival.At.Before(until) {
			return true
		}
	}
	return false
}

// LastDomainSends returns, in ascending order, how long after a failure domain was taken out each
// process sent it the last request, for those that sent one: for instances in touch, and for all.
func (e *Evidence) LastDomainSends() (inTouch, all []time.Duration) {
	type sender struct {
		process processKey
		since   time.Time
	}
	last, lastInTouch := map[sender]time.Duration{}, map[sender]time.Duration{}
	e.inDomainsOut(func(a *caller.Attempt, d DomainOut, at time.Time) {
		key := sender{processKey{a.Instance, a.Process}, d.AckedAt}
		last[key] = max(last[key], at.Sub(d.AckedAt))
		if e.inTouch(e.process(a), at) {
			lastInTouch[key] = last[key]
		}
	})
	return sorted(lastInTouch), sorted(last)
}

func sorted[K comparable](times map[K]time.Duration) []time.Duration {
	var out []time.Duration
	for _, t := range times {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}
