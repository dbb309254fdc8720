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

// toAny sends a request of a service that is not partitioned by key.
func (j *job) toAny(w *work, entry *route.Entry) (*request.Answer, *problem.Problem) {
	t, slot, p := j.admitAny(w, entry)
	if p != nil {
		return nil, p
	}
	delay, ok := j.d.o.Delay.Estimate()
	if !ok || !j.mayHedge(entry, slot) {
		return j.sendMeasured(w, w, entry, t, slot)
	}
	return newRace(j, w, entry, delay).run(t, slot)
}

// sendMeasured is send that also counts the latency into the hedge delay.
func (j *job) sendMeasured(ctx context.Context, w *work, entry *route.Entry, t *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	start := time.Now()
	answer, p := j.send(ctx, w, entry, t, slot)
	if p == nil || p.Stage == outcome.StageWritten {
		j.d.o.Delay.Observe(time.Since(start))
	}
	return answer, p
}

// admitAny takes a slot of the better of two servers; when that one refuses, of the other.
func (j *job) admitAny(w *work, entry *route.Entry) (*route.Target, *admission.Slot, *problem.Problem) {
	best, other := j.pick(entry.View.Targets)
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

// pick draws two servers, leaving out the one that failed last if there are others.
func (j *job) pick(targets []*route.Target) (best, other *route.Target) {
	candidates := targets
	if j.failed != "" && len(targets) > 1 {
		candidates = without(targets, j.failed)
	}
	now := time.Now()
	first, second := choice.PowerOfTwo(j.d.o.Random(), len(candidates), func(i int) choice.Score {
		return score(candidates[i].Gate, now)
	})
	if first < 0 {
		return nil, nil
	}
	return candidates[first], candidates[second]
}

func score(g *admission.Limiter, now time.Time) choice.Score {
	s := choice.Score{Outstanding: g.Outstanding(), Latency: g.LatencyAt(now), Load: g.Load()}
	if !g.RampState().Warm {
		s.Wait = g.ExpectedWait()
	}
	return s
}

func without(targets []*route.Target, name string) []*route.Target {
	rest := make([]*route.Target, 0, len(targets))
	for _, t := range targets {
		if t.Name != name {
			rest = append(rest, t)
		}
	}
	return rest
}

// mayHedge reports whether a second dispatch is harmless and possible.
func (j *job) mayHedge(entry *route.Entry, slot *admission.Slot) bool {
	if !j.r.Idempotent || j.r.Streamed() || slot.Exclusive() || j.d.limits().NoHedge {
		return false
	}
	verdict, _ := j.d.o.Quarantine.Verdict(j.fingerprint, time.Now())
	return verdict == quarantine.Unrestricted && len(entry.View.Targets) > 1
}
