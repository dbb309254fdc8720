package dispatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/ramp"
	"peridotmoor.org/peridotmoor/internal/request"
)

// coldServer is a server with a cold cache that is filled from a slow disk. Each
// response makes it warmer; a request beyond its capacity fails and undoes the
// warm-up of one response.
type coldServer struct {
	mu      sync.Mutex
	warmth  int
	started []time.Time
	failed  int
	// warmAt is when the server had warmed up completely.
	warmAt time.Time
}

// capacity is the number of requests that the server can start in one second: 6, 12,
// 24, 48, then any number.
func (c *coldServer) capacity() int {
	if c.warmth >= 40 {
		return 1 << 30
	}
	return 6 << (c.warmth / 10)
}

func (c *coldServer) handle(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	if !c.start() {
		return resetBeforeRun(ctx, s, r)
	}
	response, err := respondAfter(5*time.Millisecond)(ctx, s, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmth++
	if c.warmth >= 40 && c.warmAt.IsZero() {
		c.warmAt = time.Now()
	}
	return response, err
}

func (c *coldServer) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.started = slices.DeleteFunc(c.started, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	c.started = append(c.started, now)
	if len(c.started) <= c.capacity() {
		return true
	}
	c.failed++
	c.warmth = max(0, c.warmth-1)
	return false
}

// Guards against overload of a cold server: with the slow-start ramp, no dispatch may
// fail. Without it dispatches must fail, else the test shows nothing.
func TestColdStart(t *testing.T) {
	simulate := func(name string, limiterOptions admission.Options) *coldServer {
		cold := &coldServer{}
		var result *loadResult
		var start time.Time
		synctest.Test(t, func(t *testing.T) {
			start = time.Now()
			fake := newFakeServer("bosho-01", newRunLog(), cold.handle)
			pool := newServerPool(true, []*fakeServer{fake}, limiterOptions)
			defer pool.close()
			handle := handlerOf(pool.dispatcher(Limits{MaxRetries: -1}, nil))
			result = openLoop{rate: 100, duration: 30 * time.Second, timeout: time.Second, seed: 9}.run(handle)
		})
		warm := "never"
		if !cold.warmAt.IsZero() {
			warm = cold.warmAt.Sub(start).String()
		}
		t.Logf("%-14s sent %d, answered %d, failed on the server %d, refused not run %d, warm after %s",
			name, result.sent, result.answered, cold.failed, result.failed-cold.failed, warm)
		return cold
	}
	with := simulate("with ramp", admission.Options{Slots: 3, StartReason: ramp.ReasonAdded})
	without := simulate("without ramp", admission.Options{Slots: 3})
	if with.failed > 0 {
		t.Errorf("%d dispatches failed on the server with the ramp", with.failed)
	}
	if without.failed == 0 {
		t.Error("the server is not cold: nothing failed without the ramp")
	}
}
