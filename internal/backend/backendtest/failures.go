package backendtest

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// failureCases returns the cases of requests without a complete response.
func failureCases() []contractCase {
	cases := []contractCase{
		{"cancelled while running", Options{}, cancelled},
		{"context deadline while running", Options{}, contextDeadline},
		{"connection refused", Options{}, connectionRefused},
		{"503 without the not-run header is a response", Options{}, plain503},
		{"frozen server", Options{}, frozen},
	}
	for _, c := range brokenResponses {
		cases = append(cases, contractCase{"broken response: " + string(c.fault), Options{}, func(t *testing.T, h Harness) {
			testBrokenResponse(t, h, c)
		}})
	}
	for _, fault := range []Fault{TruncatedBody, ResetBody} {
		cases = append(cases, contractCase{"broken body: " + string(fault), Options{}, func(t *testing.T, h Harness) {
			testBrokenBody(t, h, fault)
		}})
	}
	return cases
}

// brokenResponseCase is a fault that is detected before the body is read, with the
// expected kind of problem and the expected number of executions.
type brokenResponseCase struct {
	fault Fault
	kind  problem.Kind
	runs  int
}

var brokenResponses = []brokenResponseCase{
	{MismatchedResponse, problem.KindAnswerCrossed, 1},
	{NoID, problem.KindAnswerCrossed, 1},
	{MismatchedRefusal, problem.KindAnswerCrossed, 1},
	{NoLength, problem.KindAnswerShort, 1},
	{ResetUnread, problem.KindAnswerLost, 0},
	{ResetRun, problem.KindAnswerLost, 1},
	{ResetHeader, problem.KindAnswerLost, 1},
}

// testBrokenResponse checks the reported problem, that the request was sent only
// once, and that the connection is not reused.
func testBrokenResponse(t *testing.T, h Harness, c brokenResponseCase) {
	is := is.New(t)
	readBody(t, mustSend(t, h, 1, get("before")))
	h.Control.FailNext(c.fault)
	_, err := h.Server.Send(t.Context(), order(1), get("one"))
	expectProblem(t, err, c.kind, outcome.StageWritten)
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), c.runs)
	readBody(t, mustSend(t, h, 1, get("after")))
}

func testBrokenBody(t *testing.T, h Harness, fault Fault) {
	is := is.New(t)
	h.Control.FailNext(fault)
	response, err := h.Server.Send(t.Context(), order(1), get("one"))
	is.NoErr(err)
	content, err := io.ReadAll(response.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(content) < 5000)
	_ = response.Body.Close()
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 1)
	readBody(t, mustSend(t, h, 1, get("after")))
}

func cancelled(t *testing.T, h Harness) {
	h.Control.FailNext(Hang)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := h.Server.Send(ctx, order(1), post("one", []byte("x")))
		ended <- err
	}()
	h.Control.WaitUntilStarted(t.Context(), "one")
	cancel()
	expectProblem(t, <-ended, problem.KindCallerGone, outcome.StageWritten)
	h.Control.WaitUntilCancelled(t.Context(), "one")
}

func contextDeadline(t *testing.T, h Harness) {
	h.Control.FailNext(Hang)
	ctx := newDeadline(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := h.Server.Send(ctx, order(1), post("one", nil))
		ended <- err
	}()
	h.Control.WaitUntilStarted(t.Context(), "one")
	ctx.pass()
	expectProblem(t, <-ended, problem.KindDeadlinePassed, outcome.StageWritten)
	h.Control.WaitUntilCancelled(t.Context(), "one")
}

func connectionRefused(t *testing.T, h Harness) {
	is := is.New(t)
	before, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(1)})
	is.NoErr(err)
	h.Control.Crash()
	_, err = h.Server.Send(t.Context(), order(1), post("one", []byte("x")))
	expectProblem(t, err, problem.KindConnectFailed, outcome.StageConnect)
	is.NoErr(h.Control.Start())
	readBody(t, mustSend(t, h, 1, post("two", []byte("x"))))
	after, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(1)})
	is.NoErr(err)
	is.True(before.Incarnation != after.Incarnation)
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 0)
}

func plain503(t *testing.T, h Harness) {
	is := is.New(t)
	h.Control.FailNext(Plain503)
	response, err := h.Server.Send(t.Context(), order(1), get("one"))
	is.NoErr(err)
	is.Equal(response.Status, 503)
	readBody(t, response)
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 1)
}

// frozen checks that a request is not reported as "not run" while a frozen server
// may still run it, and that control calls end with their context.
func frozen(t *testing.T, h Harness) {
	is := is.New(t)
	h.Control.Freeze()
	ctx := newDeadline(t.Context())
	ended := make(chan error, 2)
	go func() {
		_, err := h.Server.Send(ctx, order(1), post("one", nil))
		ended <- err
	}()
	h.Control.WaitUntilBlocked(t.Context())
	ctx.pass()
	expectProblem(t, <-ended, problem.KindDeadlinePassed, outcome.StageWritten)
	control := newDeadline(t.Context())
	go func() {
		_, err := h.Server.Grant(control, backend.Grant{Order: order(1)})
		ended <- err
	}()
	h.Control.WaitUntilBlocked(t.Context())
	control.pass()
	is.True(errors.Is(<-ended, context.DeadlineExceeded))
	h.Control.Thaw()
	h.Control.WaitUntilStarted(t.Context(), "one")
	readBody(t, mustSend(t, h, 1, get("two")))
}
