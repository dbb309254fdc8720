package dispatch

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/choice"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// sendToAny sends a request of a service that is not partitioned by key.
func (ex *execution) sendToAny(rc *requestContext, entry *route.Entry) (*request.Answer, *problem.Problem) {
	t, slot, p := ex.admitToBetterOfTwo(rc, entry)
	if p != nil {
		return nil, p
	}
	delay, ok := ex.dispatcher.options.HedgeDelay.Hedge()
	if !ok || !ex.canHedge(entry, slot) {
		return ex.sendAndMeasure(rc, rc, entry, t, slot)
	}
	return newHedgedSend(ex, rc, entry, delay).run(t, slot)
}

// sendAndMeasure is send that also counts the latency into the hedge delay.
func (ex *execution) sendAndMeasure(ctx context.Context, rc *requestContext, entry *route.Entry, t *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	start := time.Now()
	answer, p := ex.send(ctx, rc, entry, t, slot)
	if p == nil || p.Stage == outcome.StageWritten {
		ex.dispatcher.options.HedgeDelay.Add(time.Since(start))
	}
	return answer, p
}

// admitToBetterOfTwo takes a slot of the better of two servers; when that one refuses, of the other.
func (ex *execution) admitToBetterOfTwo(rc *requestContext, entry *route.Entry) (*route.Target, *admission.Slot, *problem.Problem) {
	best, other := ex.pickTwo(entry.View.Targets)
	if best == nil {
		return nil, nil, problem.New(problem.KindNoServer, outcome.StageQueued,
			"shard %s has no backend server that takes work", entry.View.Shard)
	}
	slot, p := ex.admit(rc, best)
	if p == nil {
		return best, slot, nil
	}
	if other == best || p.Kind != problem.KindOverloaded {
		return nil, nil, p
	}
	slot, p = ex.admit(rc, other)
	return other, slot, p
}

// pickTwo draws two servers, leaving out the one that failed last if there are others.
func (ex *execution) pickTwo(targets []*route.Target) (best, other *route.Target) {
	candidates := targets
	if ex.failedServer != "" && len(targets) > 1 {
		candidates = excluding(targets, ex.failedServer)
	}
	now := time.Now()
	first, second := choice.Two(ex.dispatcher.options.Random(), len(candidates), func(i int) choice.Score {
		return scoreOf(candidates[i].Gate, now)
	})
	if first < 0 {
		return nil, nil
	}
	return candidates[first], candidates[second]
}

func scoreOf(g *admission.Gate, now time.Time) choice.Score {
	s := choice.Score{Outstanding: g.Outstanding(), Latency: g.LatencyAt(now), Load: g.Load()}
	if !g.Allowance().Warm {
		s.Wait = g.ExpectedWait()
	}
	return s
}

func excluding(targets []*route.Target, name string) []*route.Target {
	rest := make([]*route.Target, 0, len(targets))
	for _, t := range targets {
		if t.Name != name {
			rest = append(rest, t)
		}
	}
	return rest
}

// canHedge reports whether a second dispatch is harmless and possible.
func (ex *execution) canHedge(entry *route.Entry, slot *admission.Slot) bool {
	if !ex.request.Idempotent || ex.request.Streamed() || slot.Exclusive() || ex.dispatcher.limits().DisableHedging {
		return false
	}
	verdict, _ := ex.dispatcher.options.Quarantine.Verdict(ex.fingerprint, time.Now())
	return verdict == quarantine.Free && len(entry.View.Targets) > 1
}
