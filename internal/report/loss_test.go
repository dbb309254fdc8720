package report

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// history is a consistent set of records of several requests, with what the callers
// observed and what the servers ran.
type history struct {
	builder
	evidence Evidence
}

// attempt adds one attempt of request id with matching records and evidence, and returns
// what its caller received.
func (h *history) attempt(t *rapid.T, id string, idempotent bool, ran *bool) Attempt {
	entry := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry")
	holder := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")
	address := map[string]string{"a": addressA, "b": addressB}[entry]
	how := rapid.SampledFrom([]string{"queued", "connect", "written", "answered"}).Draw(t, "how")
	if *ran && !idempotent {
		how = "queued"
	}
	stage, result := outcome.StageQueued, outcome.NotRun
	if how != "queued" {
		h.dispatched(holder, id, "s")
	}
	switch how {
	case "connect":
		h.failed(holder, id, "s", how)
		stage = outcome.StageConnect
	case "written":
		h.failed(holder, id, "s", how)
		stage, result = outcome.StageWritten, outcome.Unknown
	case "answered":
		h.answered(holder, id, "s")
		stage, result = outcome.StageComplete, outcome.Answered
	}
	if how == "written" || how == "answered" {
		h.evidence.Executions = append(h.evidence.Executions, ranOn(id, "s", idempotent))
		*ran = true
	} else if *ran && !idempotent {
		result = outcome.Unknown // the record of the request forbids "not run"
	}
	h.ended(entry, id, result, stage, idempotent)
	return attemptWith(address, result)
}

func drawHistory(t *rapid.T) *history {
	h := &history{}
	h.start("a", addressA)
	h.start("b", addressB)
	for n := range rapid.IntRange(1, 6).Draw(t, "requests") {
		id := fmt.Sprintf("r%d", n)
		idempotent := rapid.Bool().Draw(t, "idempotent")
		var attempts []Attempt
		ran := false
		from := h.now()
		for range rapid.IntRange(1, 3).Draw(t, "attempts") {
			attempts = append(attempts, h.attempt(t, id, idempotent, &ran))
		}
		h.evidence.Requests = append(h.evidence.Requests, sentTo(id, idempotent, from, h.now(), attempts...))
	}
	h.add("a", events.InstanceStopped)
	h.add("b", events.InstanceStopped)
	return h
}

// Guards against claims based on missing records: with any subset of consistent records
// there is no violation, and with all of them every request is accounted for.
func TestLostRecordsProveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		if v := Verify(h.journal(), h.evidence); !v.OK() {
			t.Fatalf("complete records: %+v", v)
		}
		var kept []*Record
		for _, r := range h.records {
			if rapid.Bool().Draw(t, "kept") {
				kept = append(kept, r)
			}
		}
		v := Verify(NewJournal(kept, nil), h.evidence)
		if len(v.Violations) > 0 {
			t.Fatalf("%d of %d records: %+v", len(kept), len(h.records), v.Violations)
		}
	})
}

// Guards against results that depend on the order in which records are read.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		shuffled := NewJournal(rapid.Permutation(h.records).Draw(t, "order"), nil)
		want, got := fmt.Sprintf("%+v", NewOverview(h.journal(), Window{})), fmt.Sprintf("%+v", NewOverview(shuffled, Window{}))
		if want != got {
			t.Fatalf("in order: %s\nshuffled: %s", want, got)
		}
	})
}

// Guards against a gap that covers more time than the records were lost for.
func TestGapCovers(t *testing.T) {
	b := &builder{}
	b.start("a", addressA)
	for range 10_000 {
		b.add("a", events.RequestAdmitted)
	}
	b.start("a", addressA) // killed and started again
	b.add("a", events.InstanceStopped)
	instance := b.journal().Instances()[0]
	killed := testStart.Add(10 * time.Second)
	for name, c := range map[string]struct {
		from, until time.Duration
		want        bool
	}{
		"long before": {-9 * time.Second, -3 * time.Second, false},
		"across":      {-3 * time.Second, time.Second, true},
		"just after":  {time.Second, 3 * time.Second, true},
		"long after":  {3 * time.Second, 4 * time.Second, false},
	} {
		if got := instance.mayHaveLost(killed.Add(c.from), killed.Add(c.until)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
