package usagecap

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// account is the holder's token bucket of one team.
type account struct {
	name   string
	limit  fleet.Cap
	tokens float64
	// reserved is the number of tokens reserved by queued attempts.
	reserved float64
	// settledAt is when tokens was computed, and supply the supply of the ledger then.
	settledAt time.Time
	supply    float64
	returns   returnSchedule
	// uses holds the instances with recent requests or a valid allowance, and lost those
	// that may use an allowance without the holder.
	uses map[string]*instanceUse
	lost map[string]lostAllowance
	// inherited is used while allowances of an earlier holder may be valid.
	inherited inheritance
	// requests is the number of recent requests at the instances in uses.
	requests float64
	// toldShare is the sum of the shares in uses and lost.
	toldShare float64
}

// capacity returns the most tokens that may add up at now. Each part of the cap that another
// holder or a lost instance may use is missing from it.
func (a *account) capacity(now time.Time, share float64) float64 {
	lost := 0.0
	for _, x := range a.lost {
		lost += x.share
	}
	share, byParts := a.inherited.share(now, share)
	if byParts {
		return max(1, burst(a.limit)*(share-lost))
	}
	return max(1, burst(a.limit)*min(share, 1-lost))
}

// settle refills the bucket up to now, given the supply of the ledger: the integral over time
// of the share of the cap that the holder may use.
func (a *account) settle(now time.Time, supply, share float64) {
	elapsed := now.Sub(a.settledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	lost := 0.0
	for _, x := range a.lost {
		end := now
		if x.until.Before(end) {
			end = x.until
		}
		lost += x.rateUnder(a.limit) * max(0, end.Sub(a.settledAt).Seconds())
	}
	a.tokens += max(0, a.gain(now, elapsed, supply, share, lost))
	for instance, x := range a.lost {
		if !now.Before(x.until) {
			a.toldShare -= x.share
			delete(a.lost, instance)
		}
	}
	a.tokens = min(a.tokens, a.capacity(now, share))
	a.settledAt, a.supply = now, supply
}

// gain returns the refill since the last one, where lost instances may have used lost tokens.
// They are in what the holder has inherited, but not among its followers, so that in the
// second case only the larger of both deductions counts.
func (a *account) gain(now time.Time, elapsed, supply, share, lost float64) float64 {
	if part, byParts := a.inherited.share(a.settledAt, share); byParts {
		inheriting := min(elapsed, a.inherited.until.Sub(a.settledAt).Seconds())
		return a.limit.Rate*(part*inheriting+share*(elapsed-inheriting)) - lost
	}
	return min(a.limit.Rate*(supply-a.supply), a.limit.Rate*elapsed-lost)
}

// inherit takes over what an instance holds by an allowance of an earlier holder.
func (a *account) inherit(instance string, held Holding) {
	a.tokens += max(-1, min(held.Tokens, localBurst(a.limit)*held.Part))
	a.inherited.add(instance, held.Part)
}

// setLimit changes the cap.
func (a *account) setLimit(now time.Time, limit fleet.Cap, share float64) {
	a.limit = limit
	a.tokens = min(a.tokens, a.capacity(now, share))
}

// count counts a request at an instance.
func (a *account) count(instance string) {
	a.use(instance).current++
	a.requests++
}

func (a *account) use(instance string) *instanceUse {
	u := a.uses[instance]
	if u == nil {
		u = &instanceUse{}
		if a.uses == nil {
			a.uses = map[string]*instanceUse{}
		}
		a.uses[instance] = u
	}
	return u
}

// refusal returns when a refused caller should come back.
func (a *account) refusal(now time.Time) time.Duration {
	free := now.Add(seconds(max(0, minTokens-(a.tokens-a.reserved)) / a.limit.Rate))
	return a.returns.book(now, free, a.limit.Rate)
}

// allowance returns the part of the cap that an instance may use by itself, according to
// need. Parts told earlier to other instances are valid for a while: all together stay
// within the cap. A lost instance, whose queued attempts may still be decided, is told nothing.
func (a *account) allowance(now time.Time, instance string, instances int, share float64) Allowance {
	if _, lost := a.lost[instance]; lost {
		return Allowance{}
	}
	needed := a.inherited.neededShare(now, share)
	share, _ = a.inherited.share(now, share)
	u := a.use(instance)
	part := (u.requests() + priorRequests) / (a.requests + priorRequests*float64(max(1, instances)))
	part = max(0, min(part, 1-(a.toldShare-u.toldShare)))
	a.toldShare += part - u.toldShare
	spare := tolerance(a.limit)
	tokens := max(0, min(a.tokens-a.reserved+spareRatio*spare*share, maxTokensRatio*spare*share))
	u.toldShare, u.toldAt = part, now
	u.told = Allowance{Rate: a.limit.Rate * share * part, Tokens: tokens * part, Burst: localBurst(a.limit) * share * part, Part: share * part, Need: max(share, needed) * part}
	return u.told
}

// lose records that an instance may use its allowance without the holder.
func (a *account) lose(now time.Time, instance string) {
	u := a.uses[instance]
	if u != nil {
		delete(a.uses, instance)
		a.requests -= u.requests()
		a.toldShare -= u.toldShare
	}
	switch {
	case u != nil && u.told.told() && now.Sub(u.toldAt) <= AllowanceTTL+lostMargin:
		a.addLost(instance, lostAllowance{rate: u.told.Rate, part: u.told.Part, share: u.toldShare, until: u.toldAt.Add(AllowanceTTL + lostMargin)})
		a.tokens -= u.held(now)
	case a.inherited.parts[instance] > 0 && now.Before(a.inherited.until):
		part := a.inherited.parts[instance]
		a.addLost(instance, lostAllowance{rate: a.limit.Rate * part, part: part, share: part, until: a.inherited.until})
	}
}

func (a *account) addLost(instance string, x lostAllowance) {
	if a.lost == nil {
		a.lost = map[string]lostAllowance{}
	}
	a.toldShare += x.share - a.lost[instance].share
	a.lost[instance] = x
}

// rejoin records that an instance uses the holder again.
func (a *account) rejoin(instance string) {
	a.toldShare -= a.lost[instance].share
	delete(a.lost, instance)
}

// rotate begins a new count period, and reports whether the account is still in use.
func (a *account) rotate(now time.Time) bool {
	a.requests, a.toldShare = 0, 0
	for instance, u := range a.uses {
		u.previous, u.current = u.current, 0
		if now.Sub(u.toldAt) > AllowanceTTL+lostMargin {
			u.toldShare = 0
			if u.previous == 0 {
				delete(a.uses, instance)
				continue
			}
		}
		a.requests += u.previous
		a.toldShare += u.toldShare
	}
	for _, x := range a.lost {
		a.toldShare += x.share
	}
	return len(a.uses) > 0 || len(a.lost) > 0 || len(a.inherited.parts) > 0 && now.Before(a.inherited.until)
}
