package report

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// explainCase holds the records of request "r" and the expected explanation.
type explainCase struct {
	records func(b *builder)
	killed  bool
	outcome outcome.Outcome
	// proof, missing and contradiction are expected parts of the text; empty when none is
	// expected.
	proof, missing, contradiction string
}

// Guards against a proof that the records do not support.
func TestExplain(t *testing.T) {
	cases := map[string]explainCase{
		"refused by the server, then shed": {
			records: func(b *builder) {
				b.dispatched("a", "r", "s1")
				b.failed("a", "r", "s1", "refused-by-server")
				b.ended("b", "r", outcome.NotRun, outcome.StageQueued, false)
			},
			outcome: outcome.NotRun, proof: "of its 1 dispatches to servers none wrote a byte that the server took",
		},
		"not run, but a dispatch was written": {
			records: func(b *builder) {
				b.dispatched("a", "r", "s1")
				b.failed("a", "r", "s1", "written")
				b.ended("b", "r", outcome.NotRun, outcome.StageQueued, false)
			},
			outcome: outcome.NotRun, proof: "1 may have run it by these records", contradiction: "the dispatch to server s1 by holder a may have run it",
		},
		"two dispatches of a non-idempotent request": {
			records: func(b *builder) {
				b.dispatched("a", "r", "s1")
				b.failed("a", "r", "s1", "written")
				b.dispatched("b", "r", "s2")
				b.answered("b", "r", "s2")
				b.ended("b", "r", outcome.Answered, outcome.StageComplete, false)
			},
			outcome: outcome.Answered, proof: "server s2 answered holder b", contradiction: "2 of its dispatches may have run it",
		},
		"dispatch without an end": {
			records: func(b *builder) {
				b.dispatched("a", "r", "s1")
				b.ended("b", "r", outcome.Unknown, outcome.StageForwardSent, true)
			},
			outcome: outcome.Unknown, proof: "it may have run on s1", missing: "how the dispatch to server s1 by holder a ended",
		},
		"no conclusion": {
			records: func(b *builder) { b.dispatched("a", "r", "s1") },
			outcome: OutcomeNotRecorded, proof: "break off before its end; it may have run on s1", missing: "the conclusion of an entry instance",
		},
		"idempotent, records of its time lost": {
			records: func(b *builder) { b.ended("b", "r", outcome.NotRun, outcome.StageQueued, true) }, killed: true,
			outcome: outcome.NotRun, proof: "this holds for the recorded attempts only", missing: "what instance a did after",
		},
		"not idempotent, records of its time lost": {
			records: func(b *builder) { b.ended("b", "r", outcome.NotRun, outcome.StageQueued, false) }, killed: true,
			outcome: outcome.NotRun, proof: "before any byte of it was sent to a backend server (entry b, test)", missing: "what instance a did after",
		},
		"stage of a later version": {
			records: func(b *builder) { b.ended("b", "r", outcome.Unknown, outcome.Stage(12), false) },
			outcome: outcome.Unknown, proof: "at a stage that the record does not name",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &builder{}
			b.start("a", addressA)
			b.start("b", addressB)
			c.records(b)
			if !c.killed {
				b.add("a", events.InstanceStopped)
			}
			b.add("b", events.InstanceStopped)
			e := Explain(b.journal(), "r")
			is.Equal(e.Outcome, c.outcome)
			is.True(strings.Contains(e.Proof, c.proof))
			is.True(mentions(e.Missing, c.missing))
			is.True(mentions(e.Contradictions, c.contradiction))
		})
	}
}

// mentions reports whether a line contains the text, or for an empty text whether there is
// no line.
func mentions(lines []string, text string) bool {
	if text == "" {
		return len(lines) == 0
	}
	return slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, text) })
}

// Guards against omitting an event that this version does not know.
func TestUnknownEventIsDescribed(t *testing.T) {
	is := is.New(t)
	b := &builder{}
	b.add("a", events.Event{Number: 9999, Name: "request_parked"}, fieldRequestID, "r")
	e := Explain(b.journal(), "r")
	is.Equal(len(e.Steps), 1)
	is.True(strings.Contains(e.Steps[0].Text, "event 9999 request_parked"))
}

// Guards against requests without an ID being counted as one request, or not at all.
func TestRequestsWithoutIDAreCounted(t *testing.T) {
	is := is.New(t)
	b := &builder{}
	for range 3 {
		b.add("a", events.RequestRefusedAtEntry, fieldRequestID, "", fieldService, "chumon", fieldOutcome, "not-run", fieldKind, "missing-request-id", fieldStage, 0.0)
	}
	s := Summarize(b.journal(), Window{})
	is.Equal(s.Total, Counts{Sent: 3, NotRun: 3})
	is.Equal(s.Rows[0].Reasons, []Reason{{Outcome: outcome.NotRun, Kind: "missing-request-id", StageText: "ended before it was sent to any holder", Count: 3}})
}
