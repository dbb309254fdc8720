package backendtest

import (
	"bytes"
	"context"
	"io"
	"net/textproto"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// sendCases returns the cases of requests that the server completes or refuses.
func sendCases() []contractCase {
	return []contractCase{
		{"complete response", Options{}, completeResponse},
		{"request with a body", Options{}, withBody},
		{"streamed body", Options{}, streamedBody},
		{"response closed before its end", Options{}, abandonedResponse},
		{"shed", Options{}, shed},
		{"shed before a large body", Options{}, shedUpload},
		{"drained", Options{}, drained},
		{"slots taken", Options{Slots: 1}, slotsTaken},
		{"deadline passed before sending", Options{}, deadlineBefore},
		{"remaining time reaches the server", Options{}, remainingTime},
		{"health and load", Options{}, reports},
	}
}

// readBody reads the body of a response to its end and closes it.
func readBody(t *testing.T, response *request.Response) []byte {
	t.Helper()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("body: %v", err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	return content
}

// mustSend sends a request and fails the test unless the response has status 200.
func mustSend(t *testing.T, h Harness, ballot uint64, r *request.Request) *request.Response {
	t.Helper()
	response, err := h.Server.Send(t.Context(), order(ballot), r)
	if err != nil {
		t.Fatalf("request %s: %v", r.ID, err)
	}
	if response.RequestID != r.ID || response.Status != 200 {
		t.Fatalf("request %s: response to %s with status %d", r.ID, response.RequestID, response.Status)
	}
	return response
}

// expectRefusal sends a request and fails the test unless the server refuses it
// without running it.
func expectRefusal(t *testing.T, h Harness, ballot uint64, r *request.Request) {
	t.Helper()
	_, err := h.Server.Send(t.Context(), order(ballot), r)
	expectProblem(t, err, problem.KindShed, outcome.StageRefusedByServer)
	if runs := h.Control.ExecutionCount(t.Context(), r.ID); runs != 0 {
		t.Fatalf("refused request %s ran %d times", r.ID, runs)
	}
}

// expectProblem checks the kind and stage of the problem in err.
func expectProblem(t *testing.T, err error, kind problem.Kind, stage outcome.Stage) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error instead of %s", kind)
	}
	p := problem.From(err)
	if p.Kind != kind || p.Stage != stage {
		t.Fatalf("%s at stage %d instead of %s at stage %d: %v", p.Kind, p.Stage, kind, stage, err)
	}
}

func completeResponse(t *testing.T, h Harness) {
	is := is.New(t)
	response := mustSend(t, h, 1, get("one"))
	is.Equal(response.ContentLength, int64(5000))
	is.True(response.Server != "")
	is.True(response.Header.Get(backend.HeaderIncarnation) != "")
	is.Equal(len(readBody(t, response)), 5000)
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 1)
	again := readBody(t, mustSend(t, h, 1, get("two")))
	is.Equal(len(again), 5000)
}

func withBody(t *testing.T, h Harness) {
	is := is.New(t)
	r := post("one", bytes.Repeat([]byte("x"), 10_000))
	r.Header = textproto.MIMEHeader{"Content-Type": {"text/plain"}, "Connection": {"close"}}
	readBody(t, mustSend(t, h, 1, r))
	readBody(t, mustSend(t, h, 1, post("two", nil)))
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 1)
	is.Equal(h.Control.ExecutionCount(t.Context(), "two"), 1)
}

func streamedBody(t *testing.T, h Harness) {
	for name, length := range map[string]int64{"known": 3 << 20, "unknown": -1} {
		r := post(name, nil)
		r.Body = bytes.NewReader(make([]byte, 3<<20))
		r.ContentLength = length
		readBody(t, mustSend(t, h, 1, r))
	}
}

func abandonedResponse(t *testing.T, h Harness) {
	r := get("one")
	r.Path = "/plot?size=4000000"
	response := mustSend(t, h, 1, r)
	_ = response.Body.Close()
	readBody(t, mustSend(t, h, 1, get("two")))
}

func shed(t *testing.T, h Harness) {
	h.Control.SetShedding(true)
	expectRefusal(t, h, 1, post("one", []byte("x")))
	h.Control.SetShedding(false)
	readBody(t, mustSend(t, h, 1, post("one", []byte("x"))))
}

// shedUpload guards against a refusal that is lost because the server closes
// the connection while the body is still being sent.
func shedUpload(t *testing.T, h Harness) {
	h.Control.SetShedding(true)
	for _, length := range []int64{16 << 20, -1} {
		r := post("upload-"+strconv.Itoa(int(length)), nil)
		r.Body = bytes.NewReader(make([]byte, 16<<20))
		r.ContentLength = length
		expectRefusal(t, h, 1, r)
	}
}

func drained(t *testing.T, h Harness) {
	is := is.New(t)
	is.NoErr(h.Server.Drain(t.Context(), order(1)))
	expectRefusal(t, h, 1, get("one"))
	health, err := h.Server.Health(t.Context())
	is.NoErr(err)
	is.True(health.Leaving)
	is.True(!health.Accepting)
	response, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(1)})
	is.NoErr(err)
	is.True(response.Leaving)
}

func slotsTaken(t *testing.T, h Harness) {
	h.Control.FailNext(Hang)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := h.Server.Send(ctx, order(1), get("running"))
		ended <- err
	}()
	h.Control.WaitUntilStarted(t.Context(), "running")
	expectRefusal(t, h, 1, get("second"))
	cancel()
	expectProblem(t, <-ended, problem.KindCallerGone, outcome.StageWritten)
}

func deadlineBefore(t *testing.T, h Harness) {
	is := is.New(t)
	r := post("one", nil)
	r.Deadline = time.Now().Add(-time.Millisecond)
	_, err := h.Server.Send(t.Context(), order(1), r)
	expectProblem(t, err, problem.KindDeadlinePassed, outcome.StageConnect)
	is.Equal(h.Control.ExecutionCount(t.Context(), "one"), 0)
}

func remainingTime(t *testing.T, h Harness) {
	is := is.New(t)
	readBody(t, mustSend(t, h, 1, get("one")))
	left := h.Control.Timeout("one")
	is.True(left > 0)
	is.True(left <= caseTimeout)
}

func reports(t *testing.T, h Harness) {
	is := is.New(t)
	health, err := h.Server.Health(t.Context())
	is.NoErr(err)
	is.True(health.Accepting)
	is.True(health.Incarnation != "")
	load, err := h.Server.Load(t.Context())
	is.NoErr(err)
	is.Equal(load, backend.Load{})
}
