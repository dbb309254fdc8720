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

func (fixedServices) CheckSender(*request.Request) *problem.Problem { return nil }

type fixedHolders struct {
	holder  *Holder
	changed chan struct{}
}

func (h fixedHolders) Find(key.ShardID) (*Holder, <-chan struct{}) { return h.holder, h.changed }

type noopObserver struct{}

func (noopObserver) Retried(*request.Request, *Holder, *problem.Problem) {}
func (noopObserver) Ended(*request.Request, *request.Response, *problem.Problem, time.Duration) {
}

// scriptedHolder returns the results one after another; nil stands for a response.
type scriptedHolder struct {
	results []*problem.Problem
	calls   int
}

func (s *scriptedHolder) Forward(_ context.Context, _ *Holder, r *request.Request) (*request.Response, error) {
	p := s.results[min(s.calls, len(s.results)-1)]
	s.calls++
	if p != nil {
		return nil, p
	}
	return &request.Response{RequestID: r.ID, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func newProblem(kind problem.Kind, stage outcome.Stage) *problem.Problem {
	return problem.New(kind, stage, "test")
}

// Guards against the outcome "not run" after an earlier attempt with outcome unknown,
// and against a second send of an upload that has been consumed.
func TestOverallOutcome(t *testing.T) {
	lost := newProblem(problem.KindHolderLost, outcome.StageForwardSent)
	refused := newProblem(problem.KindNoHolder, outcome.StageForwardUnsent)
	shed := newProblem(problem.KindShed, outcome.StageQueued)
	superseded := newProblem(problem.KindNotHolder, outcome.StageForwardUnsent)
	supersededAfterDispatch := superseded.WithOutcome(outcome.Unknown)
	cases := []struct {
		name       string
		idempotent bool
		streamed   bool
		results    []*problem.Problem
		want       outcome.Outcome
		calls      int
	}{
		{"response", false, false, []*problem.Problem{nil}, outcome.Answered, 1},
		{"refused, then response", false, false, []*problem.Problem{refused, nil}, outcome.Answered, 2},
		{"lost, then response from the record", false, false, []*problem.Problem{lost, nil}, outcome.Answered, 2},
		{"shed", false, false, []*problem.Problem{shed}, outcome.NotRun, 1},
		{"lost, then not run according to the holder's records", false, false, []*problem.Problem{lost, shed}, outcome.NotRun, 2},
		{"lost, then shed without a record", true, false, []*problem.Problem{lost, shed}, outcome.Unknown, 2},
		{"superseded after a dispatch, then shed", true, false, []*problem.Problem{supersededAfterDispatch, shed}, outcome.Unknown, 2},
		{"superseded before a dispatch, then shed", true, false, []*problem.Problem{superseded, shed}, outcome.NotRun, 2},
		{"upload to a superseded holder", false, true, []*problem.Problem{superseded}, outcome.NotRun, 1},
		{"upload to a holder that refuses connections", false, true, []*problem.Problem{refused, nil}, outcome.Answered, 2},
		{"lost upload", false, true, []*problem.Problem{lost}, outcome.Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := &scriptedHolder{results: c.results}
				f := New(Options{Services: fixedServices{}, Holders: fixedHolders{holder: &Holder{}}, HolderClient: calls, Observer: noopObserver{}, MaxInFlight: 10})
				r := &request.Request{Service: "bosho", Idempotent: c.idempotent, Deadline: time.Now().Add(time.Second)}
				if c.streamed {
					r.Body = strings.NewReader("upload")
				}
				response, err := f.Handle(t.Context(), r)
				got := outcome.Answered
				if err != nil {
					got = problem.From(err).Outcome
				} else {
					is.NoErr(response.Body.Close())
				}
				is.Equal(got, c.want)
				is.Equal(calls.calls, c.calls)
				is.Equal(f.InFlight(), int64(0))
			})
		})
	}
}

// Guards against a request that waits for a holder after its deadline, and against the
// outcome "not run" if no holder is found after an attempt with outcome unknown.
func TestNoHolderBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{Services: fixedServices{}, Holders: fixedHolders{}, HolderClient: &scriptedHolder{}, Observer: noopObserver{}, MaxInFlight: 10})
		start := time.Now()
		_, err := f.Handle(t.Context(), &request.Request{Service: "bosho", Deadline: start.Add(time.Second)})
		is.Equal(problem.From(err).Kind, problem.KindNoHolder)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(time.Since(start), time.Second)

		lost := newProblem(problem.KindHolderLost, outcome.StageForwardSent)
		f = New(Options{Services: fixedServices{}, Holders: fixedHolders{holder: &Holder{}}, HolderClient: &scriptedHolder{results: []*problem.Problem{lost, newProblem(problem.KindNoHolder, outcome.StageForwardUnsent)}}, Observer: noopObserver{}, MaxInFlight: 10})
		_, err = f.Handle(t.Context(), &request.Request{Service: "bosho", Deadline: time.Now().Add(time.Second)})
		is.Equal(problem.From(err).Outcome, outcome.Unknown)
	})
}

// Guards against unlimited requests in flight, and against requests of services that
// are unknown or out of service.
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
			f := New(Options{Services: fixedServices{}, Holders: fixedHolders{}, HolderClient: &scriptedHolder{}, Observer: noopObserver{}, MaxInFlight: c.limit})
			_, err := f.Handle(t.Context(), &request.Request{Service: c.service, Deadline: time.Now().Add(time.Hour)})
			is.Equal(problem.From(err).Kind, c.kind)
			is.Equal(problem.From(err).Outcome, outcome.NotRun)
		})
	}
}
