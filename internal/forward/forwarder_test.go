package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

type fixedServices struct{}

func (fixedServices) ShardCount(service string) (int, bool) {
	return map[string]int{"bosho": 4, "out": 0}[service], service == "bosho" || service == "out"
}

type fixedHolders struct {
	holder  *Holder
	changed chan struct{}
}

func (h fixedHolders) Find(key.ShardID) (*Holder, <-chan struct{}) { return h.holder, h.changed }

type quietObserver struct{}

func (quietObserver) Retried(*request.Request, *Holder, *problem.Problem) {}
func (quietObserver) Ended(*request.Request, *request.Response, *problem.Problem, time.Duration) {
}

// script answers successive calls with successive results; nil means an answer.
type script struct {
	results []*problem.Problem
	calls   int
}

func (s *script) Forward(_ context.Context, _ *Holder, r *request.Request) (*request.Response, error) {
	p := s.results[min(s.calls, len(s.results)-1)]
	s.calls++
	if p != nil {
		return nil, p
	}
	return &request.Response{RequestID: r.ID, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func at(kind problem.Kind, stage outcome.Stage) *problem.Problem {
	return problem.New(kind, stage, "test")
}

// Guards against a claim of "not run" that an earlier, lost attempt contradicts,
// and against sending a consumed upload again.
func TestAttemptsConclude(t *testing.T) {
	lost := at(problem.KindHolderLost, outcome.StageForwardSent)
	refused := at(problem.KindNoHolder, outcome.StageForwardUnsent)
	shed := at(problem.KindShed, outcome.StageQueued)
	deposed := at(problem.KindNotHolder, outcome.StageForwardUnsent)
	deposedAfterDispatch := deposed.WithOutcome(outcome.Unknown)
	cases := []struct {
		name       string
		idempotent bool
		streamed   bool
		results    []*problem.Problem
		want       outcome.Outcome
		calls      int
	}{
		{"answer", false, false, []*problem.Problem{nil}, outcome.Answered, 1},
		{"refused, then answer", false, false, []*problem.Problem{refused, nil}, outcome.Answered, 2},
		{"lost, then answer from the record", false, false, []*problem.Problem{lost, nil}, outcome.Answered, 2},
		{"shed", false, false, []*problem.Problem{shed}, outcome.NotRun, 1},
		{"lost, then the records of the holder say not run", false, false, []*problem.Problem{lost, shed}, outcome.NotRun, 2},
		{"lost, then shed without a record", true, false, []*problem.Problem{lost, shed}, outcome.Unknown, 2},
		{"deposed after a dispatch, then shed", true, false, []*problem.Problem{deposedAfterDispatch, shed}, outcome.Unknown, 2},
		{"deposed before a dispatch, then shed", true, false, []*problem.Problem{deposed, shed}, outcome.NotRun, 2},
		{"upload to a deposed holder", false, true, []*problem.Problem{deposed}, outcome.NotRun, 1},
		{"upload to a holder that refuses connections", false, true, []*problem.Problem{refused, nil}, outcome.Answered, 2},
		{"lost upload", false, true, []*problem.Problem{lost}, outcome.Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := &script{results: c.results}
				f := New(Options{Services: fixedServices{}, Holders: fixedHolders{holder: &Holder{}}, HolderClient: calls, Observer: quietObserver{}, MaxInFlight: 10})
				r := &request.Request{Service: "bosho", Idempotent: c.idempotent, Deadline: time.Now().Add(time.Second)}
				if c.streamed {
					r.Body = strings.NewReader("upload")
				}
				answer, err := f.Handle(t.Context(), r)
				got := outcome.Answered
				if err != nil {
					got = problem.From(err).Outcome
				} else {
					is.NoErr(answer.Body.Close())
				}
				is.Equal(got, c.want)
				is.Equal(calls.calls, c.calls)
				is.Equal(f.InFlight(), int64(0))
			})
		})
	}
}

// Guards against a request that waits past its deadline for a holder, or that
// claims "not run" after a lost attempt when no holder came.
func TestNoHolderBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{Services: fixedServices{}, Holders: fixedHolders{}, HolderClient: &script{}, Observer: quietObserver{}, MaxInFlight: 10})
		start := time.Now()
		_, err := f.Handle(t.Context(), &request.Request{Service: "bosho", Deadline: start.Add(time.Second)})
		is.Equal(problem.From(err).Kind, problem.KindNoHolder)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(time.Since(start), time.Second)

		lost := at(problem.KindHolderLost, outcome.StageForwardSent)
		f = New(Options{Services: fixedServices{}, Holders: fixedHolders{holder: &Holder{}}, HolderClient: &script{results: []*problem.Problem{lost, at(problem.KindNoHolder, outcome.StageForwardUnsent)}}, Observer: quietObserver{}, MaxInFlight: 10})
		_, err = f.Handle(t.Context(), &request.Request{Service: "bosho", Deadline: time.Now().Add(time.Second)})
		is.Equal(problem.From(err).Outcome, outcome.Unknown)
	})
}

// Guards against unbounded work at the entry and against a service that is out.
func TestEntryRefusals(t *testing.T) {
	cases := []struct {
		service string
		limit   int64
		kind    problem.Kind
	}{
		{"bosho", 0, problem.KindOverloaded},
		{"out", 10, problem.KindServiceOut},
		{"bosh", 10, problem.KindUnknownService},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			is := is.New(t)
			f := New(Options{Services: fixedServices{}, Holders: fixedHolders{}, HolderClient: &script{}, Observer: quietObserver{}, MaxInFlight: c.limit})
			_, err := f.Handle(t.Context(), &request.Request{Service: c.service, Deadline: time.Now().Add(time.Hour)})
			is.Equal(problem.From(err).Kind, c.kind)
			is.Equal(problem.From(err).Outcome, outcome.NotRun)
		})
	}
}
