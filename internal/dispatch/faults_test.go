package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// testEnv is the first holder of the test shard with two mirrors and its servers.
type testEnv struct {
	network   *fakeNetwork
	witnesses *fakeWitnesses
	log       *runLog
	holder    *testHolder
}

func newTestEnv(keyed bool, slots int, limits Limits, servers ...*fakeServer) *testEnv {
	env := &testEnv{network: newFakeNetwork(), witnesses: &fakeWitnesses{}, log: servers[0].log}
	for i := range 4 {
		env.network.add(instance(i))
	}
	token := authority.Token{Epoch: 1, Ballot: 1}
	env.witnesses.promise(token)
	env.holder = newHolder(holderOptions{
		self: instance(0), token: token, network: env.network, witnesses: env.witnesses,
		candidates: []authority.Instance{instance(1), instance(2)}, firstTenure: true,
		keyed: keyed, slots: slots, limits: limits, servers: servers,
	})
	return env
}

func (env *testEnv) close() {
	env.holder.close()
	env.network.close()
}

// handle executes a request and reads the complete response.
func (h *testHolder) handle(ctx context.Context, r *request.Request) (string, error) {
	response, err := h.dispatcher.Handle(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// Guards against a false outcome, which the run log of the server contradicts, and
// against a second run of a non-idempotent request. Injects a fault at each stage of a
// dispatch.
func TestFaultsOfOneDispatch(t *testing.T) {
	type want struct {
		outcome outcome.Outcome
		kind    problem.Kind
		runs    int
	}
	once := respondAfter(time.Millisecond)
	cases := []struct {
		name   string
		script []behaviour
		// plain and idempotent are the expected results of a non-idempotent and an
		// idempotent request.
		plain, idempotent want
	}{
		{"no fault", nil,
			want{outcome.Answered, "", 1}, want{outcome.Answered, "", 1}},
		{"connection refused once", []behaviour{refuseConnection},
			want{outcome.Answered, "", 1}, want{outcome.Answered, "", 1}},
		{"every connection refused", []behaviour{refuseConnection, refuseConnection, refuseConnection},
			want{outcome.NotRun, problem.KindConnectFailed, 0}, want{outcome.NotRun, problem.KindConnectFailed, 0}},
		{"shed once", []behaviour{shedRequest},
			want{outcome.Answered, "", 1}, want{outcome.Answered, "", 1}},
		{"reset before the run", []behaviour{resetBeforeRun},
			want{outcome.Unknown, problem.KindAnswerLost, 0}, want{outcome.Answered, "", 1}},
		{"reset after the run", []behaviour{resetAfterRun},
			want{outcome.Unknown, problem.KindAnswerLost, 1}, want{outcome.Answered, "", 2}},
		{"reset, then connections refused", []behaviour{resetAfterRun, refuseConnection, refuseConnection},
			want{outcome.Unknown, problem.KindAnswerLost, 1}, want{outcome.Unknown, problem.KindConnectFailed, 1}},
		{"no response", []behaviour{neverRespond},
			want{outcome.Unknown, problem.KindDeadlinePassed, 1}, want{outcome.Unknown, problem.KindDeadlinePassed, 1}},
		{"headers without a body", []behaviour{headersThenHang},
			want{outcome.Unknown, problem.KindDeadlinePassed, 1}, want{outcome.Unknown, problem.KindDeadlinePassed, 1}},
		{"truncated body", []behaviour{truncatedBody},
			want{outcome.Unknown, problem.KindAnswerShort, 1}, want{outcome.Answered, "", 2}},
		{"response to another request", []behaviour{respondToOtherRequest},
			want{outcome.Unknown, problem.KindAnswerCrossed, 1}, want{outcome.Answered, "", 2}},
		{"run after the caller has given up", []behaviour{runAfterCallerGone},
			want{outcome.Unknown, problem.KindDeadlinePassed, 1}, want{outcome.Unknown, problem.KindDeadlinePassed, 1}},
		{"crash of the server", []behaviour{crashServer},
			want{outcome.Unknown, problem.KindAnswerLost, 1}, want{outcome.Answered, "", 2}},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{false, true} {
			expected := c.plain
			name := c.name + ", not idempotent"
			if idempotent {
				expected = c.idempotent
				name = c.name + ", idempotent"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					server := newFakeServer("bosho-01", newRunLog(), once, c.script...)
					env := newTestEnv(true, 3, Limits{}, server)
					defer env.close()
					r := newRequest(idempotent)
					text, err := env.holder.handle(t.Context(), r)
					time.Sleep(5 * time.Second)
					synctest.Wait()
					is.Equal(env.log.count(r.ID), expected.runs)
					is.Equal(env.holder.targets[0].Limiter.Outstanding(), 0)
					is.Equal(env.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(0))
					if expected.outcome == outcome.Answered {
						is.NoErr(err)
						is.Equal(text, "response to "+r.ID)
						return
					}
					is.True(err != nil)
					is.Equal(problem.From(err).Outcome, expected.outcome)
					is.Equal(problem.From(err).Kind, expected.kind)
				})
			})
		}
	}
}

// Guards against a response without a body that is taken for a truncated one.
func TestResponsesWithoutBody(t *testing.T) {
	cases := []struct {
		method string
		status int
		want   bool
	}{{"HEAD", 200, true}, {"GET", 204, true}, {"GET", 304, true}, {"GET", 200, false}}
	for _, c := range cases {
		response := &request.Response{Status: c.status, ContentLength: 10, Body: io.NopCloser(strings.NewReader(""))}
		_, _, _, err := readResponse(response, c.method)
		is.New(t).Equal(err == nil, c.want)
	}
}
