package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a panic for a server whose first failure is just being recorded.
func TestFailureThatIsBeingRecorded(t *testing.T) {
	is := is.New(t)
	var f serverFailures
	f.servers.Store("a", &failureCount{})
	is.True(!f.blocks(time.Unix(1000, 0), "a"))
}

// Guards against a server that stays blocked after it has answered, and against pauses that
// do not grow, or grow without bound.
func TestPausesGrowWithTheFailures(t *testing.T) {
	is := is.New(t)
	var f serverFailures
	now := time.Unix(1000, 0)
	for _, pause := range []time.Duration{minLocalBackoff, 2 * minLocalBackoff, 4 * minLocalBackoff, 4 * minLocalBackoff} {
		f.record(now, placing.Completion{Server: "a", Outcome: placing.Lost}, true)
		is.True(f.blocks(now.Add(pause-1), "a"))
		now = now.Add(pause)
		is.True(!f.blocks(now, "a")) // one request finds out
		is.True(f.blocks(now, "a"))
	}
	f.record(now, placing.Completion{Server: "a", Outcome: placing.Answered}, true)
	is.True(!f.blocks(now, "a"))
	f.record(now, placing.Completion{Server: "a", Outcome: placing.Misdirected}, true)
	is.True(!f.blocks(now, "a")) // it may own other keys
}

// Guards against data races between the requests of an instance.
func TestFailuresOfConcurrentRequests(t *testing.T) {
	var f serverFailures
	var running sync.WaitGroup
	now := time.Unix(1000, 0)
	for n := range 8 {
		running.Go(func() {
			for k := range 1000 {
				outcome := placing.Lost
				if (n+k)%3 == 0 {
					outcome = placing.Answered
				}
				f.record(now, placing.Completion{Server: "a", Outcome: outcome}, true)
				f.blocks(now, "a")
			}
		})
	}
	running.Wait()
}
