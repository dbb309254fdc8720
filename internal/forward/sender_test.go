package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// changingServices lets in the sender of a request for a number of checks.
type changingServices struct {
	fixedServices
	checks *int
}

func (s changingServices) CheckSender(*request.Request) *problem.Problem {
	if *s.checks--; *s.checks < 0 {
		return newProblem(problem.KindUnauthorized, outcome.StageForwardUnsent)
	}
	return nil
}

// Guards against a request that is forwarded after its key has been withdrawn while it
// waited, and against a refusal that hides that an earlier attempt may have run.
func TestSenderIsCheckedBeforeEachAttempt(t *testing.T) {
	unsent, lost := newProblem(problem.KindNoHolder, outcome.StageForwardUnsent), newProblem(problem.KindHolderLost, outcome.StageForwardSent)
	for name, c := range map[string]struct {
		checks  int
		results []*problem.Problem
		kind    problem.Kind
		outcome outcome.Outcome
		calls   int
	}{
		"at once":                    {0, []*problem.Problem{nil}, problem.KindUnauthorized, outcome.NotRun, 0},
		"after an attempt unsent":    {1, []*problem.Problem{unsent, nil}, problem.KindUnauthorized, outcome.NotRun, 1},
		"after an attempt unknown":   {1, []*problem.Problem{lost, nil}, problem.KindHolderLost, outcome.Unknown, 1},
		"after unknown, then unsent": {2, []*problem.Problem{lost, unsent, nil}, problem.KindNoHolder, outcome.Unknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				holder := &scriptedHolder{results: c.results}
				f := New(Options{
					Services: changingServices{checks: &c.checks}, Holders: fixedHolders{holder: &Holder{}, changed: make(chan struct{})},
					HolderClient: holder, Observer: noopObserver{}, MaxInFlight: 10,
				})
				_, err := f.Handle(context.Background(), &request.Request{ID: "1", Service: "bosho", Idempotent: true, Deadline: time.Now().Add(time.Second)})
				p := problem.From(err)
				is.Equal(p.Kind, c.kind)
				is.Equal(p.Outcome, c.outcome)
				is.Equal(holder.calls, c.calls)
			})
		})
	}
}
