package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// Guards against bodies that are cut and not reported, and against reports of those that the
// caller was told nothing of or whose process was killed.
func TestCutBodiesAreReported(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		whole   bool
		status  int
		process Process
		want    int
	}{
		"whole":                {true, 200, Process{}, 0},
		"cut":                  {false, 200, Process{}, 1},
		"cut, failure":         {false, 502, Process{}, 0},
		"cut by a kill":        {false, 200, Process{KilledAt: start}, 0},
		"cut, killed later":    {false, 200, Process{KilledAt: start.Add(2 * time.Second)}, 1},
		"cut during a stop":    {false, 200, Process{StoppedAt: start}, 1},
		"cut at its end":       {false, 200, Process{StoppedAt: start.Add(-GracePeriod)}, 0},
		"cut long before stop": {false, 200, Process{StoppedAt: start.Add(time.Minute)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.process.Instance = "entry-1"
			e := &Evidence{
				Attempts:  []*caller.Attempt{{ID: "a.1", Route: &caller.Route{}, Instance: "entry-1", Result: caller.Complete, Status: c.status, Stamp: "i-1.0"}},
				Bodies:    []backend.Body{{RequestID: "a.1", Server: "i-1", Bytes: 5, Whole: c.whole, EndedAt: start.Add(time.Second)}},
				Processes: []Process{c.process},
			}
			e.index()
			is.New(t).Equal(len(checkBodies(e)), c.want)
		})
	}
}
