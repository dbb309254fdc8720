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

// sendToAny sends a request of a service that is not partitioned by key, with a
// hedge where that is allowed.
func (h *requestHandler) sendToAny(rc *requestContext, rangeRef *route.RangeRef) (*request.Response, *problem.Problem) {
	t, slot, p := h.admitToBetterOfTwo(rc, rangeRef)
	if p != nil {
		return nil, p
	}
	delay, ok := h.dispatcher.options.HedgeDelay.Estimate()
	if !ok || !h.canHedge(rangeRef, slot) {
		return h.sendAndMeasure(rc, rc, rangeRef, t, slot)
	}
	return newHedgedSend(h, rc, rangeRef, delay).run(t, slot)
}

// sendAndMeasure calls send and adds the latency to the estimate of the hedge delay.
func (h *requestHandler) sendAndMeasure(ctx context.Context, rc *requestContext, rangeRef *route.RangeRef, t *route.Target, slot *admission.Slot) (*request.Response, *problem.Problem) {
	start := time.Now()
	response, p := h.send(ctx, rc, rangeRef, t, slot)
	if p == nil || p.Stage == outcome.StageWritten {
		h.dispatcher.options.HedgeDelay.Observe(time.Since(start))
	}
	return response, p
}

// admitToBetterOfTwo acquires a slot of the better of two randomly chosen servers,
// or of the other one when the better is overloaded.
func (h *requestHandler) admitToBetterOfTwo(rc *requestContext, rangeRef *route.RangeRef) (*route.Target, *admission.Slot, *problem.Problem) {
	best, other := h.pickTwo(rangeRef.View.Targets)
	if best == nil {
		return nil, nil, problem.New(problem.KindNoServer, outcome.StageQueued,
			"shard %s has no backend server that takes work", rangeRef.View.Shard)
	}
	slot, p := h.admit(rc, best)
	if p == nil {
		return best, slot, nil
	}
	if other == best || p.Kind != problem.KindOverloaded {
		return nil, nil, p
	}
	slot, p = h.admit(rc, other)
	return other, slot, p
}

// pickTwo chooses two servers at random, without the server of the last failed
// attempt if there are others, and returns the better one first.
func (h *requestHandler) pickTwo(targets []*route.Target) (best, other *route.Target) {
	candidates := targets
	if h.failedServer != "" && len(targets) > 1 {
		candidates = excluding(targets, h.failedServer)
	}
	now := time.Now()
	first, second := choice.PowerOfTwo(h.dispatcher.options.Random(), len(candidates), func(i int) choice.Score {
		return scoreOf(candidates[i].Limiter, now)
	})
	if first < 0 {
		return nil, nil
	}
	return candidates[first], candidates[second]
}

func scoreOf(g *admission.Limiter, now time.Time) choice.Score {
	s := choice.Score{Outstanding: g.Outstanding(), Latency: g.LatencyAt(now), Load: g.Load()}
	if !g.RampState().Warm {
		s.Wait = g.ExpectedWait()
	}
	return s
}

func excluding(targets []*route.Target, name string) []*route.Target {
	remaining := make([]*route.Target, 0, len(targets))
	for _, t := range targets {
		if t.Name != name {
			remaining = append(remaining, t)
		}
	}
	return remaining
}

// canHedge reports whether the request may be dispatched a second time while the
// first dispatch is running. A streamed body can be sent only once, and a request
// that runs exclusively or is quarantined must not run on two servers.
func (h *requestHandler) canHedge(rangeRef *route.RangeRef, slot *admission.Slot) bool {
	if !h.request.Idempotent || h.request.Streamed() || slot.Exclusive() || h.dispatcher.limits().DisableHedging {
		return false
	}
	verdict, _ := h.dispatcher.options.Quarantine.Verdict(h.fingerprint, time.Now())
	return verdict == quarantine.Unrestricted && len(rangeRef.View.Targets) > 1
}
