package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// successor makes another instance the holder of the test shard. first disables the
// guard of complete_since: the successor then assumes that nothing was dispatched
// before its tenure.
func (env *testEnv) successor(self int, servers []*fakeServer, first bool) *testHolder {
	token := authority.Token{Epoch: 1, Ballot: env.witnesses.ballot() + 1}
	env.witnesses.promise(token)
	var candidates []authority.Instance
	for i := range 4 {
		if i != self {
			candidates = append(candidates, instance(i))
		}
	}
	return newHolder(holderOptions{
		self: instance(self), token: token, network: env.network, witnesses: env.witnesses,
		candidates: candidates, keyed: true, slots: 3, servers: servers, firstTenure: first,
	})
}

// Guards against a second run of a request whose record a holder has copied, and that it
// may have dispatched, before it was lost. The old holder does not notice the end of its
// tenure, as if it was paused between the tenure check and the dispatch.
func TestAtMostOnceAcrossHolders(t *testing.T) {
	cases := []struct {
		name string
		// noTokenCheck and noCompleteSince disable one guard each.
		noTokenCheck, noCompleteSince bool
		scenario                      func(t *testing.T, env *testEnv, servers []*fakeServer, first bool, r *request.Request)
		wantRuns                      int
	}{
		{"dispatched, then the holder is lost", false, false, holderLostAfterDispatch, 1},
		{"copied, then the holder is lost before the dispatch", false, false, holderLostBeforeDispatch, 0},
		{"dispatched, then the holder and both mirrors are lost", false, false, holderAndMirrorsLost, 1},
		{"the same without complete_since", false, true, holderAndMirrorsLost, 2},
		{"the old holder gets the request after the takeover", false, false, oldHolderDispatchesLate, 1},
		{"the same without the mirrors' token check", true, false, oldHolderDispatchesLate, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
				env := newTestEnv(true, 3, Limits{}, server)
				defer env.close()
				env.network.ignoreTokens = c.noTokenCheck
				r := newRequest(false)
				c.scenario(t, env, []*fakeServer{server}, c.noCompleteSince, r)
				is.Equal(env.log.count(r.ID), c.wantRuns)
			})
		})
	}
}

func holderLostAfterDispatch(t *testing.T, env *testEnv, servers []*fakeServer, first bool, r *request.Request) {
	go func() { _, _ = env.holder.handle(context.Background(), r) }()
	time.Sleep(5 * time.Millisecond)
	next := env.successor(3, servers, first)
	defer next.close()
	expectUnknown(t, next, resend(r), problem.KindHolderLost)
}

func holderLostBeforeDispatch(t *testing.T, env *testEnv, servers []*fakeServer, first bool, r *request.Request) {
	env.holder.targets[0].Limiter.SetInheritedSlots(3)
	ended := make(chan error, 1)
	go func() { _, err := env.holder.handle(context.Background(), r); ended <- err }()
	time.Sleep(50 * time.Millisecond)
	env.holder.endTenure()
	next := env.successor(3, servers, first)
	defer next.close()
	expectUnknown(t, next, resend(r), problem.KindHolderLost)
	env.holder.targets[0].Limiter.SetInheritedSlots(0)
	is.New(t).Equal(problem.From(<-ended).Kind, problem.KindNotHolder)
}

func holderAndMirrorsLost(t *testing.T, env *testEnv, servers []*fakeServer, first bool, r *request.Request) {
	_, err := env.holder.handle(context.Background(), r)
	is.New(t).NoErr(err)
	env.network.setUnreachable(instance(1), true)
	env.network.setUnreachable(instance(2), true)
	env.network.add(authority.Instance{Name: "entry-4", Incarnation: "a"})
	next := env.successor(3, servers, first)
	defer next.close()
	if first {
		_, err := next.handle(context.Background(), resend(r))
		is.New(t).NoErr(err)
		return
	}
	expectUnknown(t, next, resend(r), problem.KindRecordsLost)
}

func oldHolderDispatchesLate(t *testing.T, env *testEnv, servers []*fakeServer, first bool, r *request.Request) {
	next := env.successor(3, servers, first)
	defer next.close()
	_, err := next.handle(context.Background(), r)
	is.New(t).NoErr(err)
	_, _ = env.holder.handle(context.Background(), resend(r))
}

// resend returns a copy of the request with a new deadline.
func resend(r *request.Request) *request.Request {
	resent := *r
	resent.Deadline = time.Now().Add(time.Second)
	return &resent
}

func expectUnknown(t *testing.T, h *testHolder, r *request.Request, kind problem.Kind) {
	t.Helper()
	is := is.NewRelaxed(t)
	_, err := h.handle(context.Background(), r)
	is.True(err != nil)
	is.Equal(problem.From(err).Kind, kind)
	is.Equal(problem.From(err).Outcome, outcome.Unknown)
}

// Guards against a dispatch whose record is on no instance but the holder.
func TestMirrorsLostBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		env.network.setUnreachable(instance(1), true)
		r := newRequest(false)
		_, err := env.holder.handle(t.Context(), r)
		is.NoErr(err) // the witnesses acknowledged the set without the lost mirror in time
		is.Equal(env.witnesses.current().Members, []authority.Instance{instance(2)})
		env.network.setUnreachable(instance(2), true)
		refused := newRequest(false)
		_, err = env.holder.handle(t.Context(), refused)
		is.Equal(problem.From(err).Kind, problem.KindMirrorUnavailable)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(env.log.count(refused.ID), 0)
		env.network.setUnreachable(instance(1), false)
		time.Sleep(3 * time.Second)
		_, err = env.holder.handle(t.Context(), resend(refused))
		is.NoErr(err) // a request proven not to have run may be sent again
		is.Equal(env.log.count(refused.ID), 1)
	})
}

// Guards against a dispatch after the end of the tenure, when the tenure ends between
// the copy of the record and the dispatch, while the request waits for a slot.
func TestTenureEndsBetweenCopyAndDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(300*time.Millisecond))
		env := newTestEnv(true, 1, Limits{}, server)
		defer env.close()
		go func() { _, _ = env.holder.handle(context.Background(), newRequest(true)) }()
		synctest.Wait()
		r := newRequest(false)
		time.AfterFunc(100*time.Millisecond, func() { env.holder.endTenure() })
		_, err := env.holder.handle(t.Context(), r)
		is.Equal(problem.From(err).Kind, problem.KindNotHolder)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(env.log.count(r.ID), 0)
	})
}

// endTenure publishes a view whose tenure has ended.
func (h *testHolder) endTenure() {
	view := *h.views.Load()
	tenure := *view.Tenure
	tenure.End = time.Now()
	view.Tenure = &tenure
	h.views.Store(&view)
}
