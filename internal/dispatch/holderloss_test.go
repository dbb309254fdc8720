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

// successor takes the shard over from the world's holder on another instance.
// first takes out the guard of complete_since: the successor believes that
// nothing was dispatched before.
func (w *world) successor(self int, servers []*fakeServer, first bool) *holder {
	token := authority.Token{Epoch: 1, Ballot: w.witnesses.ballot() + 1}
	w.witnesses.promise(token)
	var candidates []authority.Instance
	for i := range 4 {
		if i != self {
			candidates = append(candidates, instance(i))
		}
	}
	return newHolder(holderOptions{
		self: instance(self), token: token, network: w.network, witnesses: w.witnesses,
		candidates: candidates, keyed: true, slots: 3, servers: servers, first: first,
	})
}

// Guards against a second run of a request that was copied, and perhaps
// dispatched, by a holder that was then lost. The old holder is still convinced
// of its tenure, as after a pause between its check and its send.
func TestAtMostOnceAcrossHolders(t *testing.T) {
	cases := []struct {
		name string
		// noTokenCheck and noCompleteSince take a guard out.
		noTokenCheck, noCompleteSince bool
		play                          func(t *testing.T, w *world, servers []*fakeServer, first bool, r *request.Request)
		wantRuns                      int
	}{
		{"dispatched, then the holder is lost", false, false, holderLostAfterDispatch, 1},
		{"copied, then the holder is lost before the dispatch", false, false, holderLostBeforeDispatch, 0},
		{"dispatched, then holder and both mirrors are lost", false, false, holderAndMirrorsLost, 1},
		{"the same without complete_since", false, true, holderAndMirrorsLost, 2},
		{"old holder gets the request after the takeover", false, false, oldHolderDispatchesLate, 1},
		{"the same without the mirrors' token check", true, false, oldHolderDispatchesLate, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("bosho-01", newRunLog(), answerAfter(10*time.Millisecond))
				w := newWorld(true, 3, Limits{}, server)
				defer w.close()
				w.network.ignoreTokens = c.noTokenCheck
				r := newRequest(false)
				c.play(t, w, []*fakeServer{server}, c.noCompleteSince, r)
				is.Equal(w.log.count(r.ID), c.wantRuns)
			})
		})
	}
}

func holderLostAfterDispatch(t *testing.T, w *world, servers []*fakeServer, first bool, r *request.Request) {
	go func() { _, _ = w.holder.handle(context.Background(), r) }()
	time.Sleep(5 * time.Millisecond)
	next := w.successor(3, servers, first)
	defer next.close()
	expectUnknown(t, next, resend(r), problem.KindHolderLost)
}

func holderLostBeforeDispatch(t *testing.T, w *world, servers []*fakeServer, first bool, r *request.Request) {
	w.holder.targets[0].Gate.SetInheritedSlots(3)
	ended := make(chan error, 1)
	go func() { _, err := w.holder.handle(context.Background(), r); ended <- err }()
	time.Sleep(50 * time.Millisecond)
	w.holder.endTenure()
	next := w.successor(3, servers, first)
	defer next.close()
	expectUnknown(t, next, resend(r), problem.KindHolderLost)
	w.holder.targets[0].Gate.SetInheritedSlots(0)
	is.New(t).Equal(problem.From(<-ended).Kind, problem.KindNotHolder)
}

func holderAndMirrorsLost(t *testing.T, w *world, servers []*fakeServer, first bool, r *request.Request) {
	_, err := w.holder.handle(context.Background(), r)
	is.New(t).NoErr(err)
	w.network.setLost(instance(1), true)
	w.network.setLost(instance(2), true)
	w.network.add(authority.Instance{Name: "entry-4", Incarnation: "a"})
	next := w.successor(3, servers, first)
	defer next.close()
	if first {
		_, err := next.handle(context.Background(), resend(r))
		is.New(t).NoErr(err)
		return
	}
	expectUnknown(t, next, resend(r), problem.KindRecordsLost)
}

func oldHolderDispatchesLate(t *testing.T, w *world, servers []*fakeServer, first bool, r *request.Request) {
	next := w.successor(3, servers, first)
	defer next.close()
	_, err := next.handle(context.Background(), r)
	is.New(t).NoErr(err)
	_, _ = w.holder.handle(context.Background(), resend(r))
}

// resend returns the same request with a new deadline.
func resend(r *request.Request) *request.Request {
	again := *r
	again.Deadline = time.Now().Add(time.Second)
	return &again
}

func expectUnknown(t *testing.T, h *holder, r *request.Request, kind problem.Kind) {
	t.Helper()
	is := is.NewRelaxed(t)
	_, err := h.handle(context.Background(), r)
	is.True(err != nil)
	is.Equal(problem.From(err).Kind, kind)
	is.Equal(problem.From(err).Outcome, outcome.Unknown)
}

// Guards against a dispatch whose record nobody but the holder has.
func TestMirrorsLostBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), answerAfter(time.Millisecond))
		w := newWorld(true, 3, Limits{}, server)
		defer w.close()
		w.network.setLost(instance(1), true)
		r := newRequest(false)
		_, err := w.holder.handle(t.Context(), r)
		is.NoErr(err) // the set without the lost mirror was acknowledged in time
		is.Equal(w.witnesses.current().Members, []authority.Instance{instance(2)})
		w.network.setLost(instance(2), true)
		refused := newRequest(false)
		_, err = w.holder.handle(t.Context(), refused)
		is.Equal(problem.From(err).Kind, problem.KindMirrorUnavailable)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(w.log.count(refused.ID), 0)
		w.network.setLost(instance(1), false)
		time.Sleep(3 * time.Second)
		_, err = w.holder.handle(t.Context(), resend(refused))
		is.NoErr(err) // a request proven not to have run may be sent again
		is.Equal(w.log.count(refused.ID), 1)
	})
}

// Guards against a dispatch between the copy and the end of the tenure: the
// holder was paused while it waited for a slot.
func TestTenureEndsBetweenCopyAndDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), answerAfter(300*time.Millisecond))
		w := newWorld(true, 1, Limits{}, server)
		defer w.close()
		go func() { _, _ = w.holder.handle(context.Background(), newRequest(true)) }()
		synctest.Wait()
		r := newRequest(false)
		time.AfterFunc(100*time.Millisecond, func() { w.holder.endTenure() })
		_, err := w.holder.handle(t.Context(), r)
		is.Equal(problem.From(err).Kind, problem.KindNotHolder)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(w.log.count(r.ID), 0)
	})
}

// endTenure publishes a tenure that is over.
func (h *holder) endTenure() {
	view := *h.views.Load()
	tenure := *view.Tenure
	tenure.End = time.Now()
	view.Tenure = &tenure
	h.views.Store(&view)
}
