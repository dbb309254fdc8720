package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// teamBuckets holds the local buckets of the teams with a usage cap. It is safe for
// concurrent use.
type teamBuckets struct {
	// fleetSize returns the number of instances, or 0 if it is unknown.
	fleetSize func() int
	// buckets holds the buckets by team, as *atomic.Pointer[usagecap.LocalBucket].
	buckets sync.Map
	// prunedFor is the configuration's teams when the others were last forgotten.
	prunedFor atomic.Pointer[fleet.Teams]
}

// teamsOf returns the teams of the configuration in effect, or nil.
func teamsOf(snapshot *facts.Snapshot) *fleet.Teams {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Teams
}

// limitOf returns the cap of a team, and whether it has one.
func limitOf(teams *fleet.Teams, name string) (fleet.Cap, bool) {
	team := teams.Team(name)
	if team == nil || !team.Cap.Limited() {
		return fleet.Cap{}, false
	}
	return team.Cap, true
}

func (t *teamBuckets) bucket(team string) *atomic.Pointer[usagecap.LocalBucket] {
	if b, known := t.buckets.Load(team); known {
		return b.(*atomic.Pointer[usagecap.LocalBucket])
	}
	fresh := &atomic.Pointer[usagecap.LocalBucket]{}
	fresh.Store(&usagecap.LocalBucket{})
	b, _ := t.buckets.LoadOrStore(team, fresh)
	return b.(*atomic.Pointer[usagecap.LocalBucket])
}

// update replaces the bucket of a team by what change makes of it.
func (t *teamBuckets) update(team string, change func(usagecap.LocalBucket) usagecap.LocalBucket) {
	b := t.bucket(team)
	for {
		old := b.Load()
		next := change(*old)
		if b.CompareAndSwap(old, &next) {
			return
		}
	}
}

// tell records the allowance that the holder has told with a decision.
func (t *teamBuckets) tell(now time.Time, teams *fleet.Teams, team string, allowance usagecap.Allowance) {
	if _, limited := limitOf(teams, team); !limited {
		return
	}
	t.prune(teams)
	t.update(team, func(b usagecap.LocalBucket) usagecap.LocalBucket { return b.Tell(now, allowance) })
}

// prune forgets the teams that are not in the configuration any more.
func (t *teamBuckets) prune(teams *fleet.Teams) {
	if last := t.prunedFor.Load(); last == teams || !t.prunedFor.CompareAndSwap(last, teams) {
		return
	}
	t.buckets.Range(func(team, _ any) bool {
		if _, limited := limitOf(teams, team.(string)); !limited {
			t.buckets.Delete(team)
		}
		return true
	})
}

// take takes a request out of the team's bucket and reports whether it is admitted, or else
// when the caller should come back.
func (t *teamBuckets) take(now time.Time, limit fleet.Cap, team string) (retryAfter time.Duration, admitted bool) {
	instances, random := t.fleetSize(), rand.Float64()
	var taken usagecap.LocalBucket
	t.update(team, func(b usagecap.LocalBucket) usagecap.LocalBucket {
		taken, admitted = b.Take(now, limit, instances, random)
		return taken
	})
	if admitted {
		return 0, true
	}
	return taken.RetryAfter(now, limit, instances, rand.Float64()), false
}

// peek returns the tokens of the team's bucket, the probability that take would admit a
// request, and the longest time after which a refused caller should come back.
func (t *teamBuckets) peek(now time.Time, limit fleet.Cap, team string) (tokens, chance float64, retryAfter time.Duration) {
	var bucket usagecap.LocalBucket
	if b, known := t.buckets.Load(team); known {
		bucket = *b.(*atomic.Pointer[usagecap.LocalBucket]).Load()
	}
	instances := t.fleetSize()
	tokens, chance = bucket.Peek(now, limit, instances)
	if chance < 1 {
		refused, _ := bucket.Take(now, limit, instances, 0) // a copy
		retryAfter = refused.RetryAfter(now, limit, instances, 1)
	}
	return tokens, chance, retryAfter
}

// giveBack gives back a request that has provably not run.
func (t *teamBuckets) giveBack(now time.Time, teams *fleet.Teams, team string) {
	if limit, limited := limitOf(teams, team); limited {
		instances := t.fleetSize()
		t.update(team, func(b usagecap.LocalBucket) usagecap.LocalBucket { return b.Return(now, limit, instances) })
	}
}

// holdings returns what the instance holds by the allowances of the last holder.
func (t *teamBuckets) holdings(now time.Time, teams *fleet.Teams) map[string]usagecap.Holding {
	var out map[string]usagecap.Holding
	t.buckets.Range(func(key, value any) bool {
		team := key.(string)
		limit, limited := limitOf(teams, team)
		if !limited {
			return true
		}
		if held := value.(*atomic.Pointer[usagecap.LocalBucket]).Load().Holding(now, limit); held != (usagecap.Holding{}) {
			if out == nil {
				out = map[string]usagecap.Holding{}
			}
			out[team] = held
		}
		return true
	})
	return out
}
