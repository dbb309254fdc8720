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

// validInput returns an input without violations: an order, a read that ran twice,
// a refusal and a lost response, with a key that is always owned and probed.
func validInput() Input {
	in := Input{ProbedService: "bosho", ProbeKeys: []string{"k"}, ProbeInterval: 100 * time.Millisecond, From: at(0), To: at(1000)}
	in.Records = []*callers.Record{
		record("order", false, callers.Attempt{Sent: true, Outcome: outcome.Answered, Status: http.StatusOK}),
		record("read", true, callers.Attempt{Sent: true, Outcome: outcome.Answered, Status: http.StatusOK}),
		record("refused", false, callers.Attempt{Sent: true, Outcome: outcome.NotRun}, callers.Attempt{}),
		record("lost", false, callers.Attempt{Sent: true}, callers.Attempt{Sent: true, Outcome: outcome.NotRun}),
		record("unsent", false, callers.Attempt{}),
	}
	in.Runs = []runlog.Execution{run("order", false), run("read", true), run("read", true), run("lost", false)}
	for ms := 50; ms < 1000; ms += 100 {
		in.Runs = append(in.Runs, runlog.Execution{RequestID: "probe", Idempotent: true, Service: "bosho", Key: "k", Start: at(ms), Answered: true})
	}
	in.Intervals = []ownership.Interval{
		{Service: "bosho", Server: "a", From: at(-10), Until: at(500)},
		{Service: "bosho", Server: "b", From: at(500), Until: at(2000)},
	}
	return in
}

func record(id string, idempotent bool, attempts ...callers.Attempt) *callers.Record {
	return &callers.Record{RequestID: id, Idempotent: idempotent, Attempts: attempts, Latency: 5 * time.Millisecond}
}

func run(id string, idempotent bool) runlog.Execution {
	return runlog.Execution{RequestID: id, Idempotent: idempotent, Start: at(0), Answered: true}
}

func TestValidInputHasNoViolations(t *testing.T) {
	is := is.New(t)
	result := Evaluate(validInput())
	is.NoErr(result.Err())
	is.Equal(result.SummaryLine(), "demo: sent=5 answered=2 not_run=2 unknown=1 ran_twice=0 two_owners=0 crossed=0"+
		" false_not_run=0 unserved_ms=0 p50_ms=5 p99_ms=5")
}

// Guards against a check that accepts a run log which violates an invariant.
func TestViolationsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		modify func(*Input)
		count  func(Result) int
		want   string
	}{
		{"order ran twice", func(in *Input) { in.Runs = append(in.Runs, run("order", false)) },
			func(result Result) int { return result.RanTwice }, "I7"},
		{"order marked idempotent on the way ran twice", func(in *Input) {
			in.Runs[0].Idempotent = true
			in.Runs = append(in.Runs, run("order", true))
		}, func(result Result) int { return result.RanTwice }, "I7"},
		{"lost order ran twice", func(in *Input) { in.Runs = append(in.Runs, run("lost", false)) },
			func(result Result) int { return result.RanTwice }, "I7"},
		{"two owners", func(in *Input) { in.Overlaps = append(in.Overlaps, ownership.Overlap{Service: "bosho"}) },
			func(result Result) int { return result.TwoOwners }, "I1"},
		{"mismatched response", func(in *Input) { in.Records[1].Attempts[0].MismatchedResponse = true },
			func(result Result) int { return result.MismatchedResponses }, "I5"},
		{"mismatched response before a correct one", func(in *Input) {
			in.Records[1].Attempts = append([]callers.Attempt{{Sent: true, MismatchedResponse: true, Outcome: outcome.Answered}}, in.Records[1].Attempts...)
		}, func(result Result) int { return result.MismatchedResponses }, "I5"},
		{"refused request ran", func(in *Input) { in.Runs = append(in.Runs, run("refused", false)) },
			func(result Result) int { return result.FalseNotRun }, "I6"},
		{"refused read ran", func(in *Input) {
			in.Records[2].Idempotent = true
			in.Runs = append(in.Runs, run("refused", true))
		}, func(result Result) int { return result.FalseNotRun }, "I6"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			in := validInput()
			test.modify(&in)
			result := Evaluate(in)
			is.Equal(test.count(result), 1)
			is.True(result.Err() != nil)
			is.True(strings.Contains(result.Err().Error(), test.want))
		})
	}
}

// Guards against a result without violations although evidence is missing.
func TestIncompleteEvidenceIsAnError(t *testing.T) {
	is := is.New(t)
	missing := validInput()
	missing.Runs = missing.Runs[1:]
	is.True(Evaluate(missing).Err() != nil)
	ungranted := validInput()
	ungranted.Intervals = nil
	is.True(Evaluate(ungranted).Err() != nil)
	dropped := validInput()
	dropped.DroppedEvidence = 1
	is.True(Evaluate(dropped).Err() != nil)
}

func TestUnservedTime(t *testing.T) {
	cases := []struct {
		name   string
		modify func(*Input)
		want   time.Duration
	}{
		{"gap between owners", func(in *Input) { in.Intervals[1].From = at(740) }, 240 * time.Millisecond},
		{"owner of another range", func(in *Input) {
			h := key.HashOf("k")
			in.Intervals[1].Range = key.Range{Start: h + 1, End: 0}
		}, 500 * time.Millisecond},
		{"never owned", func(in *Input) { in.Intervals = nil }, time.Second},
		{"owned but without answered runs", func(in *Input) {
			for i := range in.Runs {
				if in.Runs[i].Key == "k" && in.Runs[i].Start.After(at(200)) && in.Runs[i].Start.Before(at(600)) {
					in.Runs[i].Answered = false
				}
			}
		}, 400 * time.Millisecond},
		{"no run at the end", func(in *Input) { in.Runs = in.Runs[:8] }, 550 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			in := validInput()
			test.modify(&in)
			is.Equal(Evaluate(in).Unserved, test.want)
		})
	}
}
