package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// status returns the state of the instance for the operators' tool.
func (i *Instance) status() Status {
	s := Status{
		Instance:    i.components.self.Instance.Name,
		Incarnation: i.components.self.Instance.Incarnation,
		Domain:      i.components.self.Domain,
		Ready:       i.readiness.err() == nil,
		Stopping:    i.readiness.stopping.Load(),
		Holds:       []ShardStatus{},
	}
	current := i.components.publisher.Settings()
	if current == nil {
		return s
	}
	s.SettingsVersion = current.Version.Number
	for _, l := range i.shards.ordered(current.Tree) {
		if view := l.runtime.Views().Load(); view != nil && l.holds() {
			s.Holds = append(s.Holds, shardStatus(view))
			s.PendingMoves += pendingMoves(view, current.Tree)
		}
	}
	return s
}

// pendingMoves counts the ranges whose owner is out of service.
func pendingMoves(view *route.View, tree *settings.Tree) int {
	count := 0
	for _, r := range view.Ranges {
		if r.Owner != nil && !tree.ServerPolicy(r.Owner.Name).InService {
			count++
		}
	}
	return count
}

func shardStatus(view *route.View) ShardStatus {
	s := ShardStatus{Shard: view.Shard.String(), Token: view.Tenure.Token.String(), Ranges: len(view.Ranges)}
	owned := map[string]int{}
	for _, r := range view.Ranges {
		if r.Owner == nil {
			s.Unowned++
			continue
		}
		owned[r.Owner.Name]++
	}
	for _, t := range view.Targets {
		s.Servers = append(s.Servers, ServerStatus{
			Server:    t.Name,
			Domain:    t.Domain,
			Ranges:    owned[t.Name],
			Running:   t.Limiter.Running(),
			Waiting:   t.Limiter.Waiting(),
			LatencyMS: float64(t.Limiter.Latency()) / float64(time.Millisecond),
		})
	}
	for _, m := range view.Tenure.Mirrors.Members {
		s.Mirrors = append(s.Mirrors, m.Name)
	}
	return s
}
