package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/choice"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// localScheduler chooses servers without the holder. It uses no cold servers and
// allows no retries and no hedges, since their limits hold for the whole fleet. Of the limit that a
// server names it uses a share.
type localScheduler struct {
	domain   string
	registry *facts.Registry
	// fleetSize returns the number of instances, or 0 if it is unknown.
	fleetSize func() int
	limiter   shareLimiter
	inFlight  sync.Map // server name to *atomic.Int64, the number of attempts at the server
	attempts  sync.Map // attempt number to localAttempt
	failures  serverFailures
	teams     teamBuckets
}

func newLocalScheduler(domain string, registry *facts.Registry, fleetSize func() int) *localScheduler {
	return &localScheduler{domain: domain, registry: registry, fleetSize: fleetSize, teams: teamBuckets{fleetSize: fleetSize}}
}

func (l *localScheduler) inFlightCounter(server string) *atomic.Int64 {
	if n, ok := l.inFlight.Load(server); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.inFlight.LoadOrStore(server, new(atomic.Int64))
	return n.(*atomic.Int64)
}

func (l *localScheduler) place(now time.Time, attempt placing.Attempt) placing.Decision {
	refused := placing.Decision{AttemptID: attempt.AttemptID, Reason: placing.ReasonNoHolder, RetryAfter: holderBackoff}
	if len(attempt.Tried) > 0 || attempt.Hedge {
		return refused
	}
	if l.registry.Crashes().Blocks(now, attempt.ContentHash) {
		refused.Reason = placing.ReasonCrashes
		return refused
	}
	teams := teamsOf(l.registry.Snapshot())
	limit, limited := limitOf(teams, attempt.Team)
	if limited {
		if retryAfter, admitted := l.teams.take(now, limit, attempt.Team); !admitted {
			refused.Reason, refused.RetryAfter = placing.ReasonTeamCap, retryAfter
			return refused
		}
	}
	server := l.chooseServer(now, attempt)
	if server == "" || l.inFlightCounter(server).Load() >= l.inFlightLimit(l.slotsOf(server)) {
		if limited {
			l.teams.giveBack(now, teams, attempt.Team)
		}
		return refused
	}
	l.inFlightCounter(server).Add(1)
	placed := localAttempt{server: server}
	if limited {
		placed.team = attempt.Team
	}
	l.attempts.Store(attempt.AttemptID.Number, placed)
	return placing.Decision{AttemptID: attempt.AttemptID, Server: server}
}

func (l *localScheduler) chooseServer(now time.Time, attempt placing.Attempt) string {
	snapshot := l.registry.Snapshot()
	usable := func(s *fleet.Server) bool {
		return s != nil && s.Service == attempt.Service && snapshot.MaySend(s, now) && !s.Cold(now)
	}
	if attempt.Key != placing.NoKey {
		name, granted := snapshot.Owner(attempt.Service, attempt.Key)
		if owner := snapshot.Server(name); !granted || !usable(owner) || l.failures.blocks(now, name) || !l.takeShare(now, snapshot, owner) {
			return ""
		}
		return name
	}
	var names []string
	for i := range snapshot.Servers {
		s := &snapshot.Servers[i]
		if _, limited := snapshot.Backpressure.Of(s.Incarnation).Limit.Rate(); usable(s) && !limited && !l.failures.blocks(now, s.Name) {
			names = append(names, s.Name)
		}
	}
	if len(names) == 0 {
		for i := range snapshot.Servers {
			if s := &snapshot.Servers[i]; usable(s) && l.takeShare(now, snapshot, s) {
				return s.Name
			}
		}
	}
	best, _ := choice.PowerOfTwo(rand.New(rand.NewPCG(rand.Uint64(), 0)), len(names), func(i int) choice.Score {
		return choice.Score{Outstanding: int(l.inFlightCounter(names[i]).Load())}
	})
	if best < 0 {
		return ""
	}
	return names[best]
}

// takeShare reports whether this instance may send one more request to the server under
// the limit that the server names, if any.
func (l *localScheduler) takeShare(now time.Time, snapshot *facts.Snapshot, server *fleet.Server) bool {
	rate, limited := snapshot.Backpressure.Of(server.Incarnation).Limit.Rate()
	if !limited {
		return true
	}
	instances := l.fleetSize()
	return instances > 0 && l.limiter.take(now, server.Incarnation, l.shareOf(rate, instances))
}

// inFlightLimit limits the concurrent attempts of this instance at a server: all instances
// together keep its slots busy and as many requests queued. Without it a hot key would get
// requests from each instance until its owner resets connections, which leaves the outcome
// of the requests unknown.
func (l *localScheduler) inFlightLimit(slots int) int64 {
	instances := l.fleetSize()
	if instances == 0 {
		return maxLocalInFlight
	}
	return int64(min(maxLocalInFlight, (2*slots+instances-1)/instances))
}

// complete records the end of an attempt. It returns the team whose cap the holder must take
// it from, or an empty name: that of a request that was placed here and may have run.
func (l *localScheduler) complete(now time.Time, completion placing.Completion) (team string) {
	l.failures.record(now, completion, l.isKeyed(completion.Server))
	value, ok := l.attempts.LoadAndDelete(completion.AttemptID.Number)
	if !ok {
		return ""
	}
	placed := value.(localAttempt)
	l.inFlightCounter(placed.server).Add(-1)
	if placed.team != "" && !completion.Outcome.MayHaveRun() {
		l.teams.giveBack(now, teamsOf(l.registry.Snapshot()), placed.team)
		return ""
	}
	return placed.team
}

// isKeyed reports whether the server is of a service that is divided by key.
func (l *localScheduler) isKeyed(server string) bool {
	snapshot := l.registry.Snapshot()
	if s := snapshot.Server(server); s != nil && snapshot.Config != nil {
		if service := snapshot.Config.Services[s.Service]; service != nil {
			return service.Keyed
		}
	}
	return false
}

// slotsOf returns the slots of a listed server, or 1.
func (l *localScheduler) slotsOf(server string) int {
	if s := l.registry.Snapshot().Server(server); s != nil {
		return s.Slots
	}
	return 1
}
