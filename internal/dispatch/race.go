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

// race is a hedged request: a second dispatch starts when the first takes
// longer than the delay, the first answer wins and the other is cancelled.
type race struct {
	j       *job
	w       *work
	entry   *route.Entry
	delay   time.Duration
	results chan raceResult
	won     atomic.Bool
	cancels []context.CancelCauseFunc
}

func newRace(j *job, w *work, entry *route.Entry, delay time.Duration) *race {
	return &race{j: j, w: w, entry: entry, delay: delay, results: make(chan raceResult, 2)}
}

func (r *race) run(first *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	r.start(first, slot, true)
	timer := time.NewTimer(r.delay)
	defer timer.Stop()
	running := 1
	var failure *problem.Problem
	for running > 0 {
		select {
		case result := <-r.results:
			running--
			if result.answer != nil {
				r.cancelOther(result.index)
				return result.answer, nil
			}
			r.j.failed = result.failed
			failure = worse(failure, result.p)
			timer.Stop()
		case <-timer.C:
			if r.hedge(first) {
				running++
			}
		}
	}
	return nil, failure
}

// start sends the request in its own goroutine. Its context outlives the race,
// because a streamed answer is read after it.
func (r *race) start(t *route.Target, slot *admission.Slot, first bool) {
	ctx, cancel := context.WithCancelCause(r.w)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	attempt := *r.j
	send := attempt.send
	if first {
		send = attempt.sendMeasured
	}
	go func() {
		answer, p := send(ctx, r.w, r.entry, t, slot)
		if answer != nil && r.won.Swap(true) {
			_ = answer.Body.Close() // the other answer was returned
			answer, p = nil, r.w.problem(ctx, outcome.StageWritten)
		}
		r.results <- raceResult{index: index, answer: answer, p: p, failed: attempt.failed}
	}()
}

// hedge starts the second dispatch if another server is free and the budget allows it.
func (r *race) hedge(first *route.Target) bool {
	t, _ := r.j.pick(without(r.entry.View.Targets, first.Name))
	if t == nil {
		return false
	}
	slot, ok := t.Gate.TryAcquire()
	if !ok {
		return false
	}
	if !r.j.d.o.RetryBudget.Spend(time.Now()) {
		slot.Release(admission.Result{})
		return false
	}
	r.j.emit(events.RequestHedged, "server", t.Name, "slow_server", first.Name, "delay_ms", milliseconds(r.delay))
	r.start(t, slot, false)
	return true
}

// cancelOther cancels the dispatch that has not ended. The context of the winner
// is freed with the work's.
func (r *race) cancelOther(winner int) {
	for index, cancel := range r.cancels {
		if index != winner {
			cancel(errAnswered)
			r.j.emit(events.RequestLoserClosed)
		}
	}
}

// worse returns the problem that claims less: after an unknown outcome nothing
// else may be claimed.
func worse(a, b *problem.Problem) *problem.Problem {
	if a == nil || b.Outcome == outcome.Unknown {
		return b
	}
	return a
}
