package gateway

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// ErrUnknownTeam is returned for a team that is not in the configuration.
var ErrUnknownTeam = errors.New("the configuration has no such team")

// Explain returns what the instance would decide on a request at now. It sends nothing and
// changes no counter, limit or metric. A request without a timeout and a body is assumed.
func (g *Gateway) Explain(now time.Time, r ExplainRequest) (Explanation, error) {
	snapshot := g.registry.Snapshot()
	e := Explanation{Domain: g.domain, Instances: g.scheduler.FleetSize(), HolderSilent: g.scheduler.SilentFor(now)}
	e.HolderLinked = g.scheduler.usableLink(now) != nil && e.HolderSilent <= link.HeartbeatTimeout
	e.FactsAge, e.FactsKnown = g.registry.Age(now)
	e.FactsTooOld = !e.FactsKnown || e.FactsAge > maxFactsAge
	config := snapshot.Config
	if config == nil {
		e.Refusal = &replyNoConfig
		return e, nil
	}
	e.SettingsVersion = config.Version
	call := &Call{Method: r.Method, Host: r.Host, Path: r.Path, Key: r.Key, Credential: r.Credential, ArrivedAt: now, Body: NewBody(nil, 0)}
	route := config.Match(call.Host, call.Path)
	sender := authorize(config, call, route)
	if r.Team != "" {
		if sender = (authorization{config: config, team: config.Teams.Team(r.Team)}); sender.team == nil {
			return Explanation{}, ErrUnknownTeam
		}
	}
	if sender.denial != denialNone {
		reply := replyUnauthorized(sender.denial, "on arrival")
		e.Refusal = &reply
		return e, nil
	}
	sender.setOn(call)
	e.Team = g.explainTeam(now, sender.team)
	if route == nil {
		e.Refusal = &replyNoRoute
		return e, nil
	}
	call.Route, e.Route, e.Rank = route, route, config.Rank(sender.team, route)
	deadline := call.setDeadline()
	if g.mayEndBefore(deadline) {
		e.Refusal = &replyStopping
	}
	e.RetryIfNotRun = e.HolderLinked && mayRetryAfter(*call, placing.Shed)
	e.RetryIfLost = e.HolderLinked && mayRetryAfter(*call, placing.Lost)
	for _, share := range route.Shares {
		s := g.explainService(now, snapshot, call, share.Service, deadline, e)
		s.Weight = share.Weight
		e.Services = append(e.Services, s)
	}
	return e, nil
}

// mayRetryAfter reports whether a call may be sent again after a first attempt that ended so.
func mayRetryAfter(call Call, outcome placing.Outcome) bool {
	state := callState{sends: 1}
	state.recordResult(AttemptResult{Outcome: outcome})
	call.Tried = []string{"first"}
	return state.mayRetry(&call, outcome)
}

func (g *Gateway) explainTeam(now time.Time, team *fleet.Team) *ExplainedTeam {
	if team == nil {
		return nil
	}
	e := &ExplainedTeam{Name: team.Name, Cap: team.Cap}
	if team.Cap.Limited() {
		e.LocalTokens, e.LocalChance, e.retryAfter = g.scheduler.local.teams.peek(now, team.Cap, team.Name)
	}
	return e
}

func (g *Gateway) explainService(now time.Time, snapshot *facts.Snapshot, call *Call, name string, deadline time.Time, e Explanation) ExplainedService {
	s := ExplainedService{Name: name, MayHedge: e.HolderLinked && g.mayHedge(call, &callState{service: name})}
	if service := snapshot.Config.Services[name]; service != nil {
		s.Keyed = service.Keyed
	}
	ownerOnly := s.Keyed && call.Key != placing.NoKey
	if ownerOnly {
		s.Owner, s.OwnerHolds = snapshot.Owner(name, call.Key)
	}
	remote, local := false, false // whether a server may get the request
	for i := range snapshot.Servers {
		server := &snapshot.Servers[i]
		if server.Service != name || ownerOnly && server.Name != s.Owner {
			continue
		}
		x := g.explainServer(now, snapshot, server)
		s.Servers = append(s.Servers, x)
		pause := snapshot.Backpressure.Of(server.Incarnation)
		remote = remote || x.Obstacle == facts.ObstacleNone || x.Obstacle == facts.ObstaclePaused && !pause.Paused(deadline)
		// Without a key, a server in backoff gets the request if no other one can.
		local = local || x.Obstacle == facts.ObstacleNone &&
			(x.LocalObstacle == localObstacleNone && (!ownerOnly || s.OwnerHolds) || x.LocalObstacle == localObstacleBackoff && !ownerOnly)
	}
	refuse := func(reason placing.Reason, after time.Duration) {
		reply := (&callState{}).refusalReply(placing.Decision{Reason: reason, RetryAfter: after})
		s.Refusal = &reply
	}
	switch {
	case e.HolderLinked && !ownerOnly && !remote:
		refuse(placing.ReasonNoServer, defaultRetryAfter)
	case e.HolderLinked: // the holder may still give the key to another server
	case e.Team != nil && e.Team.Cap.Limited() && e.Team.LocalChance == 0:
		refuse(placing.ReasonTeamCap, e.Team.retryAfter)
	case !local:
		refuse(placing.ReasonNoHolder, holderBackoff)
	}
	return s
}

func (g *Gateway) explainServer(now time.Time, snapshot *facts.Snapshot, server *fleet.Server) ExplainedServer {
	x := ExplainedServer{
		Name: server.Name, Domain: server.Domain, Obstacle: snapshot.ObstacleOf(server, now),
		LocalObstacle: g.scheduler.local.obstacleAt(now, snapshot, server),
		Confirmed:     g.check.isRecent(server.Incarnation, time.Time{}, now), Cold: server.Cold(now),
	}
	x.LimitPerS, x.Limited = snapshot.Backpressure.Of(server.Incarnation).Limit.Rate()
	return x
}
