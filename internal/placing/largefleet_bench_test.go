package placing

import (
	"fmt"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// newLargeScheduler returns a scheduler of one service of the given size in three failure
// domains, with a third of the servers running a request.
func newLargeScheduler(servers int) *Scheduler {
	var listed []fleet.Server
	for n := range servers {
		listed = append(listed, backend(fmt.Sprint("s", n), fmt.Sprint("d", n%3)))
	}
	sched := newScheduler(false, &soleOwner{}, listed...)
	for n := range servers / 3 {
		sched.Submit(start, newAttempt(uint64(n), start))
	}
	return sched
}

// BenchmarkSubmitAndComplete measures an attempt that is assigned and ends, by the number of
// servers of its service.
func BenchmarkSubmitAndComplete(b *testing.B) {
	for _, servers := range []int{50, 500, 1500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			sched := newLargeScheduler(servers)
			sched.TakeDecisions()
			number := uint64(1_000_000)
			for b.Loop() {
				number++
				attempt := newAttempt(number, start)
				sched.Submit(start, attempt)
				decision := sched.TakeDecisions()[0]
				sched.Complete(start, Completion{AttemptID: attempt.AttemptID, Server: decision.Server, Outcome: Answered, Duration: 150 * time.Millisecond})
			}
		})
	}
}

// BenchmarkOverloadedTick measures a tick while all slots are taken and attempts wait.
func BenchmarkOverloadedTick(b *testing.B) {
	for _, servers := range []int{50, 500, 1500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			sched := newLargeScheduler(servers)
			for n := range 4 * servers {
				sched.Submit(start, newAttempt(uint64(1_000_000+n), start))
			}
			for b.Loop() {
				sched.Tick(start)
			}
		})
	}
}
