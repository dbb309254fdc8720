package entrynode

import (
	"peridotmoor.org/peridotmoor/internal/explain"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/gateway"
	"peridotmoor.org/peridotmoor/platform"
)

// maxExplainedServers limits the servers of each service in an answer.
const maxExplainedServers = 200

func encodeExplanation(e gateway.Explanation) explain.Answer {
	answer := explain.Answer{
		Domain: e.Domain, SettingsVersion: e.SettingsVersion, Rank: e.Rank, RetryIfNotRun: e.RetryIfNotRun, RetryIfLost: e.RetryIfLost,
		Facts:   explain.Facts{Known: e.FactsKnown, AgeMS: e.FactsAge.Milliseconds(), TooOld: e.FactsTooOld},
		Holder:  explain.Holder{Places: e.HolderLinked, SilentMS: e.HolderSilent.Milliseconds(), Instances: e.Instances},
		Refusal: encodeRefusal(e.Refusal),
	}
	if r := e.Route; r != nil {
		answer.Route = &explain.Route{Name: r.Name, Kind: r.Kind.String(), MaxAttempts: r.MaxAttempts, AllowAnonymous: r.AllowAnonymous}
	}
	if t := e.Team; t != nil {
		answer.Team = &explain.Team{Name: t.Name}
		if t.Cap.Limited() {
			*answer.Team = explain.Team{Name: t.Name, Capped: true, RatePerS: t.Cap.Rate, Burst: t.Cap.Burst, LocalTokens: t.LocalTokens, LocalChance: t.LocalChance}
		}
	}
	for _, s := range e.Services {
		answer.Services = append(answer.Services, encodeExplainedService(s))
	}
	return answer
}

func encodeExplainedService(s gateway.ExplainedService) explain.Service {
	service := explain.Service{
		Name: s.Name, Weight: s.Weight, Keyed: s.Keyed, Owner: s.Owner, OwnerHolds: s.OwnerHolds, MayHedge: s.MayHedge,
		ServerCount: len(s.Servers), Refusal: encodeRefusal(s.Refusal),
	}
	for _, x := range s.Servers[:min(len(s.Servers), maxExplainedServers)] {
		server := explain.Server{Name: x.Name, Domain: x.Domain, Usable: x.Obstacle == facts.ObstacleNone, Confirmed: x.Confirmed, Cold: x.Cold}
		if !server.Usable {
			server.Obstacle = x.Obstacle.String()
		}
		if text := x.LocalObstacle.String(); text != "none" {
			server.LocalObstacle = text
		}
		if x.Limited {
			server.LimitPerS = &x.LimitPerS
		}
		service.Servers = append(service.Servers, server)
	}
	return service
}

func encodeRefusal(reply *gateway.Reply) *explain.Refusal {
	if reply == nil {
		return nil
	}
	return &explain.Refusal{Status: platform.StatusOf(reply.Outcome), Reason: reply.Detail, RetryAfterMS: reply.RetryAfter.Milliseconds()}
}
