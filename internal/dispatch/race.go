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

// hedgedSend is a hedged request: a second dispatch starts when the first takes
// longer than the delay, the first answer wins and the other is cancelled.
type hedgedSend struct {
	ex          *execution
	rc          *requestContext
	entry       *route.Entry
	delay       time.Duration
	results     chan dispatchResult
	hasWinner   atomic.Bool
	cancelFuncs []context.CancelCauseFunc
}

func newHedgedSend(ex *execution, rc *requestContext, entry *route.Entry, delay time.Duration) *hedgedSend {
	return &hedgedSend{ex: ex, rc: rc, entry: entry, delay: delay, results: make(chan dispatchResult, 2)}
}

func (r *hedgedSend) run(first *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	r.startDispatch(first, slot, true)
	timer := time.NewTimer(r.delay)
	defer timer.Stop()
	running := 1
	var failure *problem.Problem
	for running > 0 {
		select {
		case result := <-r.results:
			running--
			if result.answer != nil {
				r.cancelLoser(result.index)
				return result.answer, nil
			}
			r.ex.failedServer = result.failedServer
			failure = lessCertain(failure, result.problem)
			timer.Stop()
		case <-timer.C:
			if r.startHedge(first) {
				running++
			}
		}
	}
	return nil, failure
}

// startDispatch sends the request in its own goroutine. Its context outlives the race,
// because a streamed answer is read after it.
func (r *hedgedSend) startDispatch(t *route.Target, slot *admission.Slot, first bool) {
	ctx, cancel := context.WithCancelCause(r.rc)
	index := len(r.cancelFuncs)
	r.cancelFuncs = append(r.cancelFuncs, cancel)
	attempt := *r.ex
	send := attempt.send
	if first {
		send = attempt.sendAndMeasure
	}
	go func() {
		answer, p := send(ctx, r.rc, r.entry, t, slot)
		if answer != nil && r.hasWinner.Swap(true) {
			_ = answer.Body.Close() // the other answer was returned
			answer, p = nil, r.rc.problemIfEnded(ctx, outcome.StageWritten)
		}
		r.results <- dispatchResult{index: index, answer: answer, problem: p, failedServer: attempt.failedServer}
	}()
}

// startHedge starts the second dispatch if another server is free and the budget allows it.
func (r *hedgedSend) startHedge(first *route.Target) bool {
	t, _ := r.ex.pickTwo(excluding(r.entry.View.Targets, first.Name))
	if t == nil {
		return false
	}
	slot, ok := t.Gate.TryAcquire()
	if !ok {
		return false
	}
	if !r.ex.dispatcher.options.RetryBudget.Spend(time.Now()) {
		slot.Release(admission.Result{})
		return false
	}
	r.ex.emit(events.RequestHedged, "server", t.Name, "slow_server", first.Name, "delay_ms", milliseconds(r.delay))
	r.startDispatch(t, slot, false)
	return true
}

// cancelLoser cancels the dispatch that has not ended. The context of the winner
// is freed with the work's.
func (r *hedgedSend) cancelLoser(winner int) {
	for index, cancel := range r.cancelFuncs {
		if index != winner {
			cancel(errHedgeLost)
			r.ex.emit(events.RequestLoserClosed)
		}
	}
}

// lessCertain returns the problem that claims less: after an unknown outcome nothing
// else may be claimed.
func lessCertain(a, b *problem.Problem) *problem.Problem {
	if a == nil || b.Outcome == outcome.Unknown {
		return b
	}
	return a
}
