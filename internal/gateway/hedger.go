package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/hedge"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// errAnsweredByOther is the cause with which an attempt is cancelled when the other attempt of
// the call was answered first.
var errAnsweredByOther = errors.New("the other attempt of the request was answered first")

// hedger sends second attempts of slow calls. It is safe for concurrent use.
type hedger struct {
	delays  *hedge.Delays
	metrics HedgeMetrics
}

// newHedger returns nil if the share of hedges is 0.
func newHedger(share float64, metrics HedgeMetrics) *hedger {
	if share <= 0 {
		return nil
	}
	return &hedger{delays: hedge.NewDelays(share), metrics: metrics}
}

// mayHedge reports whether a second attempt of the call may run beside its first one: the call
// may run twice, its body can be sent twice, and any server may run it.
func (g *Gateway) mayHedge(call *Call, state *callState) bool {
	if g.hedger == nil || !call.Route.Kind.Idempotent() || call.Body.Remainder != nil || call.Route.MaxAttempts < 2 || state.hasSubmitted() {
		return false
	}
	service := g.registry.Snapshot().Config.Services[state.service]
	return service != nil && !service.Keyed
}

// sendHedged makes an attempt at the assigned server and, if that takes longer than the delay
// of the service, another one beside it. The first response is the result, and the other
// attempt is cancelled. If both fail, the result is that of the first attempt, and that of the
// second one is recorded in the state. No attempt runs any more when it returns.
func (g *Gateway) sendHedged(ctx context.Context, call *Call, state *callState, decision placing.Decision) AttemptResult {
	if !g.mayHedge(call, state) {
		return g.send(ctx, call, state, decision)
	}
	delay := g.hedger.delays.Of(state.service)
	after, known := delay.After()
	startedAt := time.Now()
	if !known || state.deadline.Sub(startedAt) < after+minAttemptTime {
		result := g.send(ctx, call, state, decision)
		observeDelay(delay, result.Outcome, time.Since(startedAt))
		return result
	}
	// The context of the attempt that is answered ends with ctx, as it bounds the remainder of
	// a long response.
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	secondCtx, cancelSecond := context.WithCancelCause(ctx)
	second := newHedgeBranch(call, state, cancelSecond, decision.Server)
	var answered atomic.Bool // set by the attempt whose response is used
	timer := time.AfterFunc(after, func() {
		defer close(second.done)
		g.sendSecond(secondCtx, second, decision.Server, after)
		if second.result.Response != nil && answered.CompareAndSwap(false, true) {
			cancelFirst(errAnsweredByOther)
		}
	})
	result := g.send(firstCtx, call, state, decision)
	observeDelay(delay, result.Outcome, time.Since(startedAt))
	if timer.Stop() {
		cancelSecond(nil)
		return result
	}
	if result.Response != nil && answered.CompareAndSwap(false, true) {
		second.cancel(errAnsweredByOther)
		<-second.done
		second.result.discard()
		g.settle(call, state, second, result.Outcome, false)
		return result
	}
	<-second.done // if the first attempt has failed, the second one goes on as its retry
	if !answered.Load() {
		g.settle(call, state, second, result.Outcome, false)
		if second.server != "" {
			state.recordResult(second.result)
		}
		return result
	}
	result.discard()
	g.settle(call, state, second, result.Outcome, true)
	state.server, state.factsAge = second.state.server, second.state.factsAge
	return second.result
}

// sendSecond asks the holder for a server and makes the second attempt there.
func (g *Gateway) sendSecond(ctx context.Context, b *hedgeBranch, firstServer string, after time.Duration) {
	if !g.recheckSender(&b.call, &b.state) {
		return
	}
	attempt := g.newAttempt(&b.call, &b.state)
	attempt.Hedge, attempt.Resubmitted = true, true
	decision := g.scheduler.Place(ctx, attempt)
	if decision.Server == "" {
		if ctx.Err() == nil { // else the first attempt has ended meanwhile
			g.hedger.metrics.HedgeRefused(b.state.service)
		}
		return
	}
	b.server = decision.Server
	g.hedger.metrics.HedgeSent(b.state.service)
	g.log.Emit(events.HedgeSent, "request", b.call.ID, "service", b.state.service, "server", decision.Server, "beside", firstServer, "after_ms", after.Milliseconds())
	b.result = g.send(ctx, &b.call, &b.state, decision)
}

// settle merges a second attempt that has ended, and logs how both ended.
func (g *Gateway) settle(call *Call, state *callState, second *hedgeBranch, firstOutcome placing.Outcome, won bool) {
	second.mergeInto(call, state)
	if second.server == "" {
		return
	}
	if won {
		g.hedger.metrics.HedgeWon(state.service)
	}
	g.log.Emit(events.HedgeEnded, "request", call.ID, "service", state.service, "server", second.server, "won", won,
		"first_outcome", firstOutcome.String(), "second_outcome", second.result.Outcome.String(), "detail", second.result.Detail)
}

// observeDelay records how long a first attempt took.
func observeDelay(delay *hedge.Delay, outcome placing.Outcome, elapsed time.Duration) {
	switch outcome {
	case placing.Answered:
		delay.Observe(elapsed)
	case placing.Abandoned, placing.Cancelled:
		delay.ObserveUnfinished(elapsed)
	}
}
