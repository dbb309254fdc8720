package usagecap

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Ledger keeps the usage of all teams with a cap at the holder. It is not safe for concurrent
// use: the goroutine that owns the scheduler owns it.
type Ledger struct {
	// accounts holds the teams with a cap by name, and active those with recent requests.
	accounts map[string]*account
	active   map[*account]struct{}
	reserved map[Request]*account
	taken    map[Request]takenToken
	// instances is the number of instances that follow the holder.
	instances int
	// share is the part of each cap that the holder may use, and supply its integral over
	// time in seconds.
	share  float64
	supply float64
	now    time.Time
	// rotatedAt is when the current count period began.
	rotatedAt time.Time
	// filled is set once the first teams are known.
	filled bool
	// inheritedUntil is when the last allowance ends that the holder before this one has
	// told, or the zero time if there was none.
	inheritedUntil time.Time
	// heirs holds the instances whose holdings are known.
	heirs map[string]bool
}

// NewLedger returns a ledger without teams.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{
		accounts: map[string]*account{}, active: map[*account]struct{}{}, reserved: map[Request]*account{}, taken: map[Request]takenToken{}, heirs: map[string]bool{},
		share: 1, now: now, rotatedAt: now,
	}
}

// Succeed must be called before SetTeams for a holder after another one, which may have told
// allowances until now.
func (l *Ledger) Succeed(now time.Time) {
	l.inheritedUntil = now.Add(NewHolderDelay)
}

// Inherit records what an instance that has joined holds of the caps of teams by allowances of
// the holder before this one. Its tokens are this holder's from now on, so that only the first
// message of an instance counts.
func (l *Ledger) Inherit(now time.Time, instance string, holdings map[string]Holding) {
	if !now.Before(l.inheritedUntil) || l.heirs[instance] {
		return
	}
	l.advance(now)
	l.heirs[instance] = true
	for team, held := range holdings {
		if a := l.accounts[team]; a != nil && held.valid() {
			l.settle(a)
			a.inherit(instance, held)
			l.active[a] = struct{}{}
		}
	}
}

// SetTeams replaces the caps. The buckets of the first teams start empty, as an earlier
// holder may just have used the tokens. Those of teams that are added later start full.
func (l *Ledger) SetTeams(now time.Time, teams map[string]*fleet.Team) CapChanges {
	l.advance(now)
	var changes CapChanges
	for name, a := range l.accounts {
		if team := teams[name]; team == nil || !team.Cap.Limited() {
			l.forget(a)
			changes.Removed++
		}
	}
	for name, team := range teams {
		if !team.Cap.Limited() {
			continue
		}
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, limit: team.Cap, settledAt: now, supply: l.supply}
			a.inherited.until = l.inheritedUntil
			if l.filled {
				a.tokens = a.capacity(l.now, l.share)
			}
			l.accounts[name] = a
			changes.Added++
			continue
		}
		if a.limit != team.Cap {
			l.settle(a)
			a.setLimit(now, team.Cap, l.share)
			changes.Changed++
		}
	}
	l.filled = true
	return changes
}

// forget removes the account of a team that no longer has a cap.
func (l *Ledger) forget(a *account) {
	delete(l.accounts, a.name)
	delete(l.active, a)
}

// SetShare sets the part of each cap that this holder may use, from now on.
func (l *Ledger) SetShare(now time.Time, share float64) {
	l.advance(now)
	l.share = share
}

// SetInstances sets the number of instances that follow the holder.
func (l *Ledger) SetInstances(instances int) {
	l.instances = instances
}

// Lose records that the link to an instance has ended, which may use its allowances now.
func (l *Ledger) Lose(now time.Time, instance string) {
	l.advance(now)
	for a := range l.active {
		l.settle(a)
		a.lose(now, instance)
	}
}

// Rejoin records that an instance follows the holder again.
func (l *Ledger) Rejoin(now time.Time, instance string) {
	l.advance(now)
	for a := range l.active {
		l.settle(a)
		a.rejoin(instance)
	}
}

// Reserve reserves a token for an attempt of the team, or returns false and when the caller
// should come back if there is none left. A repeated attempt is admitted in any case, since
// the request has been admitted before. A team that is unknown has no cap.
func (l *Ledger) Reserve(now time.Time, r Request, team string, repeated bool) (time.Duration, bool) {
	a := l.accounts[team]
	if a == nil {
		return 0, true
	}
	l.advance(now)
	l.settle(a)
	l.active[a] = struct{}{}
	if !repeated {
		a.count(r.Instance)
		if a.tokens-a.reserved < minTokens {
			return a.refusal(now), false
		}
	}
	if former := l.reserved[r]; former != nil {
		former.reserved-- // the number comes from another process, which has sent it before
	}
	a.reserved++
	l.reserved[r] = a
	return 0, true
}

// Release gives back the reservation of an attempt that is refused or cancelled, if it has one.
func (l *Ledger) Release(r Request) {
	if a := l.reserved[r]; a != nil {
		delete(l.reserved, r)
		a.reserved--
	}
}

// Take takes the reserved token of an attempt that is assigned to a server, if it has one,
// and returns the allowance of its instance. The end of the attempt is expected by the
// deadline.
func (l *Ledger) Take(now time.Time, r Request, deadline time.Time) Allowance {
	a := l.reserved[r]
	if a == nil {
		return Allowance{}
	}
	l.advance(now)
	l.settle(a)
	delete(l.reserved, r)
	a.reserved--
	a.tokens--
	l.taken[r] = takenToken{account: a, until: deadline.Add(window)}
	return l.allowance(a, r.Instance)
}

// Complete records the end of an assigned attempt. A request that has provably not run gives
// its token back.
func (l *Ledger) Complete(now time.Time, r Request, mayHaveRun bool) {
	t, known := l.taken[r]
	if !known {
		return
	}
	delete(l.taken, r)
	if !mayHaveRun {
		l.advance(now)
		l.settle(t.account)
		t.account.tokens = min(t.account.tokens+1, t.account.capacity(l.now, l.share))
	}
}

// Charge takes a token for a request that an instance has placed by itself.
func (l *Ledger) Charge(now time.Time, team string) {
	if a := l.accounts[team]; a != nil {
		l.advance(now)
		l.settle(a)
		a.tokens--
	}
}

// Allowance returns the allowance of an instance for a team whose attempt is refused.
func (l *Ledger) Allowance(team, instance string) Allowance {
	a := l.accounts[team]
	if a == nil {
		return Allowance{}
	}
	return l.allowance(a, instance)
}

func (l *Ledger) allowance(a *account, instance string) Allowance {
	if l.accounts[a.name] != a {
		return Allowance{} // the team has been removed since
	}
	l.active[a] = struct{}{}
	return a.allowance(l.now, instance, l.instances, l.share)
}

func (l *Ledger) settle(a *account) {
	a.settle(l.now, l.supply, l.share)
}

// advance moves the time of the ledger, which never goes back.
func (l *Ledger) advance(now time.Time) {
	if elapsed := now.Sub(l.now); elapsed > 0 {
		l.supply += l.share * elapsed.Seconds()
		l.now = now
	}
	if l.now.Sub(l.rotatedAt) < countPeriod {
		return
	}
	l.rotatedAt = l.now
	for a := range l.active {
		l.settle(a)
		if !a.rotate(l.now) {
			delete(l.active, a)
		}
	}
	for r, t := range l.taken {
		if l.now.After(t.until) {
			delete(l.taken, r) // the instance has ended without reporting the completion
		}
	}
}
