package callerhttp

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait for the caller's close that ends while the caller still takes the last
// responses, or that a caller makes last for ever by taking nothing or a byte now and then.
func TestWaitForTheCallersClose(t *testing.T) {
	const untaken = 64 << 10
	for name, c := range map[string]struct {
		untaken int
		idle    time.Duration            // from the last response to the begin of the wait
		takes   func(s, untaken int) int // what is not acknowledged after s seconds
		ends    time.Duration            // after the begin of the wait
	}{
		"acknowledged":             {0, 0, func(int, int) int { return 0 }, lingerLimit},
		"acknowledged a while ago": {0, 3 * time.Second, func(int, int) int { return 0 }, lingerLimit - 3*time.Second},
		"takes nothing":            {untaken, 0, func(int, int) int { return untaken }, stallTimeout},
		"takes 4 KB a second":      {untaken, 0, func(s, _ int) int { return max(0, untaken-s*4<<10) }, 16*time.Second + lingerLimit},
		"stops half-way":           {untaken, 0, func(s, _ int) int { return max(untaken/2, untaken-s*4<<10) }, 8*time.Second + stallTimeout},
		"a byte now and then": {untaken, 0, func(s, _ int) int { return untaken - s/100 },
			stallTimeout + untaken/slowestPace*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			now, left := began, c.untaken
			wait := newCloseWait(began, began.Add(-c.idle), left)
			for second := 1; now.Before(wait.end()); second++ {
				if now = began.Add(time.Duration(second) * time.Second); now.After(wait.end()) {
					now = wait.end()
					break
				}
				left = c.takes(second, left)
				wait.observe(now, left)
			}
			is.Equal(now.Sub(began), c.ends)
		})
	}
}
