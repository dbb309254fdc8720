package judge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// sound returns a case that violates nothing: an order, a read that ran twice,
// a refusal and a lost answer, with a key that is always owned and probed.
func sound() Case {
	c := Case{Probe: "bosho", ProbeKeys: []string{"k"}, Interval: 100 * time.Millisecond, From: at(0), To: at(1000)}
	c.Records = []*callers.Record{
		record("order", false, callers.Attempt{Sent: true, Outcome: outcome.Answered, Status: http.StatusOK}),
		record("read", true, callers.Attempt{Sent: true, Outcome: outcome.Answered, Status: http.StatusOK}),
		record("refused", false, callers.Attempt{Sent: true, Outcome: outcome.NotRun}, callers.Attempt{}),
		record("lost", false, callers.Attempt{Sent: true}, callers.Attempt{Sent: true, Outcome: outcome.NotRun}),
		record("unsent", false, callers.Attempt{}),
	}
	c.Runs = []runlog.Execution{run("order", false), run("read", true), run("read", true), run("lost", false)}
	for ms := 50; ms < 1000; ms += 100 {
		c.Runs = append(c.Runs, runlog.Execution{RequestID: "probe", Idempotent: true, Service: "bosho", Key: "k", Start: at(ms), Answered: true})
	}
	c.Intervals = []ownership.Interval{
		{Service: "bosho", Server: "a", From: at(-10), Until: at(500)},
		{Service: "bosho", Server: "b", From: at(500), Until: at(2000)},
	}
	return c
}

func record(id string, idempotent bool, attempts ...callers.Attempt) *callers.Record {
	return &callers.Record{RequestID: id, Idempotent: idempotent, Attempts: attempts, Latency: 5 * time.Millisecond}
}

func run(id string, idempotent bool) runlog.Execution {
	return runlog.Execution{RequestID: id, Idempotent: idempotent, Start: at(0), Answered: true}
}

func TestSoundCaseIsAccepted(t *testing.T) {
	is := is.New(t)
	v := Judge(sound())
	is.NoErr(v.Err())
	is.Equal(v.Line(), "demo: sent=5 answered=2 not_run=2 unknown=1 ran_twice=0 two_owners=0 crossed=0"+
		" false_not_run=0 unserved_ms=0 p50_ms=5 p99_ms=5")
}

// Guards against judges that accept a run log which violates an invariant.
func TestViolationsAreFound(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*Case)
		count  func(Verdict) int
		want   string
	}{
		{"order ran twice", func(c *Case) { c.Runs = append(c.Runs, run("order", false)) },
			func(v Verdict) int { return v.RanTwice }, "I7"},
		{"order marked idempotent on the way ran twice", func(c *Case) {
			c.Runs[0].Idempotent = true
			c.Runs = append(c.Runs, run("order", true))
		}, func(v Verdict) int { return v.RanTwice }, "I7"},
		{"lost order ran twice", func(c *Case) { c.Runs = append(c.Runs, run("lost", false)) },
			func(v Verdict) int { return v.RanTwice }, "I7"},
		{"two owners", func(c *Case) { c.Overlaps = append(c.Overlaps, ownership.Overlap{Service: "bosho"}) },
			func(v Verdict) int { return v.TwoOwners }, "I1"},
		{"crossed answer", func(c *Case) { c.Records[1].Attempts[0].Crossed = true },
			func(v Verdict) int { return v.Crossed }, "I5"},
		{"crossed answer before a right one", func(c *Case) {
			c.Records[1].Attempts = append([]callers.Attempt{{Sent: true, Crossed: true, Outcome: outcome.Answered}}, c.Records[1].Attempts...)
		}, func(v Verdict) int { return v.Crossed }, "I5"},
		{"refused request ran", func(c *Case) { c.Runs = append(c.Runs, run("refused", false)) },
			func(v Verdict) int { return v.FalseNotRun }, "I6"},
		{"refused read ran", func(c *Case) {
			c.Records[2].Idempotent = true
			c.Runs = append(c.Runs, run("refused", true))
		}, func(v Verdict) int { return v.FalseNotRun }, "I6"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := sound()
			test.damage(&c)
			v := Judge(c)
			is.Equal(test.count(v), 1)
			is.True(v.Err() != nil)
			is.True(strings.Contains(v.Err().Error(), test.want))
		})
	}
}

// Guards against a verdict on evidence that is not whole.
func TestIncompleteEvidenceIsRefused(t *testing.T) {
	is := is.New(t)
	missing := sound()
	missing.Runs = missing.Runs[1:]
	is.True(Judge(missing).Err() != nil)
	ungranted := sound()
	ungranted.Intervals = nil
	is.True(Judge(ungranted).Err() != nil)
	dropped := sound()
	dropped.Dropped = 1
	is.True(Judge(dropped).Err() != nil)
}

func TestUnservedTime(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*Case)
		want   time.Duration
	}{
		{"gap between owners", func(c *Case) { c.Intervals[1].From = at(740) }, 240 * time.Millisecond},
		{"owner of another range", func(c *Case) {
			h := key.HashOf("k")
			c.Intervals[1].Range = key.Range{Start: h + 1, End: 0}
		}, 500 * time.Millisecond},
		{"never owned", func(c *Case) { c.Intervals = nil }, time.Second},
		{"owned but without answered runs", func(c *Case) {
			for i := range c.Runs {
				if c.Runs[i].Key == "k" && c.Runs[i].Start.After(at(200)) && c.Runs[i].Start.Before(at(600)) {
					c.Runs[i].Answered = false
				}
			}
		}, 400 * time.Millisecond},
		{"no run at the end", func(c *Case) { c.Runs = c.Runs[:8] }, 550 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := sound()
			test.damage(&c)
			is.Equal(Judge(c).Unserved, test.want)
		})
	}
}
