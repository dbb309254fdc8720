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
func (j *execution) sendToAny(w *requestContext, entry *route.Entry) (*request.Answer, *problem.Problem) {
	t, slot, p := j.admitToBetterOfTwo(w, entry)
	if p != nil {
		return nil, p
	}
	delay, ok := j.dispatcher.options.HedgeDelay.Hedge()
	if !ok || !j.canHedge(entry, slot) {
		return j.sendAndMeasure(w, w, entry, t, slot)
	}
	return newHedgedSend(j, w, entry, delay).run(t, slot)
}

// sendAndMeasure is send that also counts the latency into the hedge delay.
func (j *execution) sendAndMeasure(ctx context.Context, w *requestContext, entry *route.Entry, t *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	start := time.Now()
	answer, p := j.send(ctx, w, entry, t, slot)
	if p == nil || p.Stage == outcome.StageWritten {
		j.dispatcher.options.HedgeDelay.Add(time.Since(start))
	}
	return answer, p
}

// admitToBetterOfTwo takes a slot of the better of two servers; when that one refuses, of the other.
func (j *execution) admitToBetterOfTwo(w *requestContext, entry *route.Entry) (*route.Target, *admission.Slot, *problem.Problem) {
	best, other := j.pickTwo(entry.View.Targets)
	if best == nil {
		return nil, nil, problem.New(problem.KindNoServer, outcome.StageQueued,
			"shard %s has no backend server that takes work", entry.View.Shard)
	}
	slot, p := j.admit(w, best)
	if p == nil {
		return best, slot, nil
	}
	if other == best || p.Kind != problem.KindOverloaded {
		return nil, nil, p
	}
	slot, p = j.admit(w, other)
	return other, slot, p
}

// pickTwo draws two servers, leaving out the one that failed last if there are others.
func (j *execution) pickTwo(targets []*route.Target) (best, other *route.Target) {
	candidates := targets
	if j.failedServer != "" && len(targets) > 1 {
		candidates = excluding(targets, j.failedServer)
	}
	now := time.Now()
	first, second := choice.Two(j.dispatcher.options.Random(), len(candidates), func(i int) choice.Score {
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
func (j *execution) canHedge(entry *route.Entry, slot *admission.Slot) bool {
	if !j.request.Idempotent || j.request.Streamed() || slot.Exclusive() || j.dispatcher.limits().DisableHedging {
		return false
	}
	verdict, _ := j.dispatcher.options.Quarantine.Verdict(j.fingerprint, time.Now())
	return verdict == quarantine.Free && len(entry.View.Targets) > 1
}
