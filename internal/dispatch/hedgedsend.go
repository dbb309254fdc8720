package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// hedgedSend sends a request with a hedge: a second dispatch starts when the first
// takes longer than delay. The first response is returned and the other dispatch is
// cancelled.
type hedgedSend struct {
	handler     *requestHandler
	rc          *requestContext
	rangeRef    *route.RangeRef
	delay       time.Duration
	results     chan dispatchResult
	hasWinner   atomic.Bool
	cancelFuncs []context.CancelCauseFunc
}

func newHedgedSend(h *requestHandler, rc *requestContext, rangeRef *route.RangeRef, delay time.Duration) *hedgedSend {
	return &hedgedSend{handler: h, rc: rc, rangeRef: rangeRef, delay: delay, results: make(chan dispatchResult, 2)}
}

func (hs *hedgedSend) run(first *route.Target, slot *admission.Slot) (*request.Response, *problem.Problem) {
	hs.startDispatch(first, slot, true)
	timer := time.NewTimer(hs.delay)
	defer timer.Stop()
	running := 1
	var failure *problem.Problem
	for running > 0 {
		select {
		case result := <-hs.results:
			running--
			if result.response != nil {
				hs.cancelLoser(result.index)
				return result.response, nil
			}
			hs.handler.failedServer = result.failedServer
			failure = lessCertain(failure, result.problem)
			timer.Stop()
		case <-timer.C:
			if hs.startHedge(first) {
				running++
			}
		}
	}
	return nil, failure
}

// startDispatch sends the request in a new goroutine. The context of the winning
// dispatch is not cancelled when run returns, because a streamed response is read after
// that.
func (hs *hedgedSend) startDispatch(t *route.Target, slot *admission.Slot, first bool) {
	ctx, cancel := context.WithCancelCause(hs.rc)
	index := len(hs.cancelFuncs)
	hs.cancelFuncs = append(hs.cancelFuncs, cancel)
	attempt := *hs.handler
	send := attempt.send
	if first {
		send = attempt.sendAndMeasure
	}
	go func() {
		response, p := send(ctx, hs.rc, hs.rangeRef, t, slot)
		if response != nil && hs.hasWinner.Swap(true) {
			_ = response.Body.Close() // the other dispatch has won
			response, p = nil, hs.rc.problemIfEnded(ctx, outcome.StageWritten)
		}
		hs.results <- dispatchResult{index: index, response: response, problem: p, failedServer: attempt.failedServer}
	}()
}

// startHedge starts the second dispatch if another server has a free slot and the
// retry budget allows it.
func (hs *hedgedSend) startHedge(first *route.Target) bool {
	t, _ := hs.handler.pickTwo(excluding(hs.rangeRef.View.Targets, first.Name))
	if t == nil {
		return false
	}
	slot, ok := t.Limiter.TryAcquire()
	if !ok {
		return false
	}
	if !hs.handler.dispatcher.options.RetryBudget.TrySpend(time.Now()) {
		slot.Release(admission.Result{})
		return false
	}
	hs.handler.emit(events.RequestHedged, "server", t.Name, "slow_server", first.Name, "delay_ms", milliseconds(hs.delay))
	hs.startDispatch(t, slot, false)
	return true
}

// cancelLoser cancels the other dispatch. The context of the winner is released with
// that of the request.
func (hs *hedgedSend) cancelLoser(winner int) {
	for index, cancel := range hs.cancelFuncs {
		if index != winner {
			cancel(errHedgeLost)
			hs.handler.emit(events.RequestLoserCancelled)
		}
	}
}

// lessCertain returns the problem of two failed dispatches that counts for the
// request: one with an unknown outcome if there is any, because the request may then
// have run.
func lessCertain(a, b *problem.Problem) *problem.Problem {
	if a == nil || b.Outcome == outcome.Unknown {
		return b
	}
	return a
}
