package report

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

const (
	addressA = "127.0.0.1:1"
	addressB = "127.0.0.1:2"
)

// verifyCase holds the records and evidence of one request "r" at the instances a and b.
type verifyCase struct {
	records func(b *builder)
	sent    SentRequest
	runs    []Execution
	// killed omits the planned stop of instance a.
	killed bool
	// violation is a part of the only expected violation; empty when none is expected.
	violation string
	// unaccounted and known are the expected numbers of requests with missing records.
	unaccounted, known int
}

func attemptWith(entry string, o outcome.Outcome) Attempt {
	return Attempt{Entry: entry, Outcome: o}
}

func request(idempotent bool, attempts ...Attempt) SentRequest {
	return sentTo("r", idempotent, testStart, testStart.Add(time.Second), attempts...)
}

func (c verifyCase) verify() Verification {
	b := &builder{}
	b.start("a", addressA)
	b.start("b", addressB)
	c.records(b)
	if !c.killed {
		b.add("a", events.InstanceStopped)
	}
	b.add("b", events.InstanceStopped)
	return Verify(b.journal(), Evidence{Requests: []SentRequest{c.sent}, Executions: c.runs})
}

// Guards against a false claim that passes, a correct one that is rejected, and a request
// that is not accounted for.
func TestVerify(t *testing.T) {
	none := func(*builder) {}
	notRun := func(b *builder) { b.ended("a", "r", outcome.NotRun, outcome.StageQueued, false) }
	answered := func(b *builder) {
		b.dispatched("b", "r", "s1")
		b.answered("b", "r", "s1")
		b.ended("a", "r", outcome.Answered, outcome.StageComplete, false)
	}
	cases := map[string]verifyCase{
		"answered and ran": {records: answered, sent: request(false, attemptWith(addressA, outcome.Answered)), runs: []Execution{ranOn("r", "s1", false)}},
		"not run":          {records: notRun, sent: request(false, attemptWith(addressA, outcome.NotRun))},
		"not run that ran": {records: notRun, sent: request(false, attemptWith(addressA, outcome.NotRun)),
			runs: []Execution{ranOn("r", "s1", false)}, violation: "claimed not run, but server s1 ran it"},
		"recorded not run that ran, answer to the caller lost": {records: notRun, sent: request(false, attemptWith(addressA, "")),
			runs: []Execution{ranOn("r", "s1", false)}, violation: "claimed not run, but server s1 ran it"},
		"answered that never ran": {records: answered, sent: request(false, attemptWith(addressA, outcome.Answered)), violation: "claimed answered, but no server ran it"},
		"told answered, never ran": {records: none, killed: true, sent: request(false, attemptWith(addressA, outcome.Answered)),
			violation: "claimed answered, but no server ran it", known: 1},
		"told not run, ran": {records: none, killed: true, sent: request(false, attemptWith(addressA, outcome.NotRun)),
			runs: []Execution{ranOn("r", "s1", false)}, violation: "claimed not run, but server s1 ran it", known: 1},
		"ran twice": {records: answered, sent: request(false, attemptWith(addressA, outcome.Answered)),
			runs: []Execution{ranOn("r", "s1", false), ranOn("r", "s2", false)}, violation: "ran 2 times"},
		"ran twice, caller marked it not idempotent": {records: answered, sent: request(false, attemptWith(addressA, outcome.Answered)),
			runs: []Execution{ranOn("r", "s1", true), ranOn("r", "s2", true)}, violation: "ran 2 times"},
		"idempotent ran twice": {records: func(b *builder) { b.ended("a", "r", outcome.Answered, outcome.StageComplete, true) },
			sent: request(true, attemptWith(addressA, outcome.Answered)), runs: []Execution{ranOn("r", "s1", true), ranOn("r", "s2", true)}},
		"crossed": {records: answered, sent: request(false, Attempt{Entry: addressA, Outcome: outcome.Answered, MismatchedResponse: true}),
			runs: []Execution{ranOn("r", "s1", false)}, violation: "answer of another request"},
		"caller was told something else": {records: notRun, sent: request(false, attemptWith(addressA, outcome.Unknown)), violation: "told unknown 1 times"},
		"recorded dispatch refutes not run": {records: func(b *builder) {
			b.dispatched("b", "r", "s1")
			b.failed("b", "r", "s1", "written")
			notRun(b)
		}, sent: request(false, attemptWith(addressA, outcome.NotRun)), violation: "the records contradict each other"},
		"refused connection does not refute not run": {records: func(b *builder) {
			b.dispatched("b", "r", "s1")
			b.failed("b", "r", "s1", "connect")
			notRun(b)
		}, sent: request(false, attemptWith(addressA, outcome.NotRun))},
		"unknown that ran": {records: func(b *builder) { b.ended("a", "r", outcome.Unknown, outcome.StageWritten, false) },
			sent: request(false, attemptWith(addressA, outcome.Unknown)), runs: []Execution{ranOn("r", "s1", false)}},
		"no record":                     {records: none, sent: request(false, attemptWith(addressA, outcome.Unknown)), unaccounted: 1},
		"no record, sent to killed":     {records: none, killed: true, sent: request(false, attemptWith(addressA, "")), known: 1},
		"no record, sent to another":    {records: none, killed: true, sent: request(false, attemptWith(addressB, "")), unaccounted: 1},
		"no record, address not listed": {records: none, killed: true, sent: request(false, attemptWith("127.0.0.1:3", "")), unaccounted: 1},
		"no record, long before the kill": {records: none, killed: true, unaccounted: 1,
			sent: sentTo("r", false, testStart.Add(-time.Hour), testStart.Add(-time.Hour), attemptWith(addressA, ""))},
		"partly recorded": {records: notRun, sent: request(false, attemptWith(addressB, ""), attemptWith(addressA, outcome.NotRun)), unaccounted: 1},
		"partly recorded, the unrecorded attempt ran": {records: notRun, killed: true, sent: request(false, attemptWith(addressA, ""), attemptWith(addressB, outcome.NotRun)),
			runs: []Execution{ranOn("r", "s1", false)}, known: 1},
		"ran, but no caller sent it": {records: notRun, sent: request(false, attemptWith(addressA, outcome.NotRun)),
			runs: []Execution{ranOn("other", "s1", false)}, unaccounted: 1},
		"never sent": {records: none, sent: SentRequest{RequestID: "r", Attempts: []Attempt{{Entry: addressA}}}},
		"lines dropped": {records: func(b *builder) { b.add("a", events.EventsDropped, fieldCount, 3.0) },
			sent: request(false, attemptWith(addressA, "")), known: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := c.verify()
			if c.violation == "" {
				is.Equal(len(v.Violations), 0)
			} else {
				is.Equal(len(v.Violations), 1)
				is.True(strings.Contains(v.Violations[0].Description, c.violation))
			}
			is.Equal(len(v.Unaccounted), c.unaccounted)
			is.Equal(len(v.KnownMissing), c.known)
			is.Equal(v.OK(), c.violation == "" && c.unaccounted == 0)
		})
	}
}

// Guards against a verification based on a run log that dropped executions.
func TestVerifyNeedsTheWholeRunLog(t *testing.T) {
	is := is.New(t)
	b := &builder{}
	b.start("a", addressA)
	b.ended("a", "r", outcome.Answered, outcome.StageComplete, true)
	b.add("a", events.InstanceStopped)
	v := Verify(b.journal(), Evidence{Requests: []SentRequest{request(true, attemptWith(addressA, outcome.Answered))}, DroppedExecutions: 1})
	is.Equal(len(v.Violations), 0)
	is.True(!v.OK())
}
