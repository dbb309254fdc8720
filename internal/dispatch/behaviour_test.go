package dispatch

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Guards against a resend that runs again or gets another answer: while the
// request runs, after its end, and with other content.
func TestResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), answerAfter(100*time.Millisecond))
		w := newWorld(true, 3, Limits{}, server)
		defer w.close()
		r := newRequest(false)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				text, err := w.holder.handle(context.Background(), resend(r))
				if err != nil || text != "answer to "+r.ID {
					t.Errorf("resend got %q, %v", text, err)
				}
			})
		}
		wg.Wait()
		replayed, err := w.holder.dispatcher.Handle(t.Context(), resend(r))
		is.NoErr(err)
		is.True(replayed.Replayed)
		other := resend(r)
		other.Digest++
		_, err = w.holder.handle(t.Context(), other)
		is.Equal(problem.From(err).Kind, problem.KindIDReused)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(w.log.count(r.ID), 1)
	})
}

// Guards against a request that is cancelled although a resend still waits for
// it, and against one that goes on, with its slot, after all callers have left.
func TestCallersLeave(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		resends    int
		wantErr    bool
	}{
		{"idempotent", true, 0, true},
		{"not idempotent", false, 0, true},
		{"not idempotent, a resend waits", false, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("bosho-01", newRunLog(), answerAfter(500*time.Millisecond))
				w := newWorld(true, 1, Limits{}, server)
				defer w.close()
				r := newRequest(c.idempotent)
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 2)
				go func() { _, err := w.holder.handle(ctx, r); ended <- err }()
				time.Sleep(50 * time.Millisecond)
				for range c.resends {
					go func() { _, err := w.holder.handle(context.Background(), resend(r)); ended <- err }()
				}
				synctest.Wait()
				cancel()
				synctest.Wait()
				is.Equal(w.holder.targets[0].Gate.Running() == 0, c.wantErr)
				err := <-ended
				is.Equal(err != nil, c.wantErr)
				if err != nil {
					is.Equal(problem.From(err).Kind, problem.KindCallerGone)
					is.Equal(problem.From(err).Outcome, outcome.Unknown)
				}
				is.Equal(w.log.count(r.ID), 1)
			})
		})
	}
}

// Guards against a cancel that comes at the moment of the answer and loses a
// slot or claims an outcome that the run log contradicts.
func TestCancelRacingWithAnswer(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			server := newFakeServer("bosho-01", newRunLog(), answerAfter(10*time.Millisecond))
			w := newWorld(true, 1, Limits{}, server)
			defer w.close()
			for range 200 {
				r := newRequest(idempotent)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(10*time.Millisecond, cancel)
				text, err := w.holder.handle(ctx, r)
				cancel()
				synctest.Wait()
				is.Equal(w.holder.targets[0].Gate.Outstanding(), 0)
				if err == nil {
					is.Equal(text, "answer to "+r.ID)
				} else if w.log.count(r.ID) > 0 {
					is.Equal(problem.From(err).Outcome, outcome.Unknown)
				}
			}
		})
	}
}

// Guards against a crashing request that takes down server after server, and
// against an unrelated one that stays marked.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), answerAfter(time.Millisecond), answerAfter(0), crash, crash)
		w := newWorld(true, 3, Limits{MaxRetries: -1}, server)
		defer w.close()
		_, err := w.holder.handle(t.Context(), newRequest(true)) // shows the incarnation before the crashes
		is.NoErr(err)
		send := func() (*request.Request, error) {
			r := newRequest(false)
			_, err := w.holder.handle(t.Context(), r)
			time.Sleep(10 * time.Second)
			return r, err
		}
		for range 2 {
			_, err := send()
			is.Equal(problem.From(err).Outcome, outcome.Unknown)
		}
		refused, err := send()
		is.Equal(problem.From(err).Kind, problem.KindQuarantined)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(w.log.count(refused.ID), 0)
		time.Sleep(10 * time.Minute)
		_, err = send()
		is.NoErr(err)
	})
}

// Guards against a marked request that shares its server, and against a mark
// that survives a success.
func TestMarkedRequestRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), answerAfter(20*time.Millisecond))
		w := newWorld(true, 3, Limits{}, server)
		defer w.close()
		marked := newRequest(true)
		fingerprint := quarantine.FingerprintOf(marked)
		w.holder.list.Mark("bosho", []quarantine.Fingerprint{fingerprint}, time.Now())
		var wg sync.WaitGroup
		var alone bool
		server.usual = func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
			if r.ID == marked.ID {
				alone = s.running.Load() == 1
			}
			answer, err := answerAfter(20*time.Millisecond)(ctx, s, r)
			if r.ID == marked.ID {
				alone = alone && s.running.Load() == 1
			}
			return answer, err
		}
		for i := range 9 {
			wg.Go(func() {
				r := newRequest(true)
				r.Digest = uint64(100 + i)
				if i == 4 {
					r = marked
				}
				if _, err := w.holder.handle(context.Background(), r); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(alone)
		is.Equal(server.most.Load(), int64(3))
		verdict, _ := w.holder.list.Verdict(fingerprint, time.Now())
		is.Equal(verdict, quarantine.Free)
	})
}

// Guards against a request that waits for a straggler although another server
// is free, against a loser that goes on, and against hedges beyond the budget.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("rail-01", log, answerAfter(5*time.Millisecond))
		b := newFakeServer("rail-02", log, answerAfter(5*time.Millisecond))
		w := newWorld(false, 3, Limits{}, a, b)
		defer w.close()
		for range 50 {
			_, err := w.holder.handle(t.Context(), newRequest(true))
			is.NoErr(err)
		}
		a.script, b.script = []behaviour{silence}, nil
		b.script = []behaviour{silence}
		start := time.Now()
		r := newRequest(true)
		_, err := w.holder.handle(t.Context(), r)
		is.True(err != nil) // both are silent: the hedge does not help, and nothing is left behind
		is.Equal(log.count(r.ID), 2)
		is.Equal(time.Since(start), time.Second)
		for range 50 {
			a.script = []behaviour{silence}
			r := newRequest(true)
			_, err := w.holder.handle(t.Context(), r)
			is.NoErr(err)
			synctest.Wait()
			is.Equal(w.holder.targets[0].Gate.Outstanding()+w.holder.targets[1].Gate.Outstanding(), 0)
		}
	})
}

// Guards against hedges that double the load when every server is slow: the
// budget is 10% of the requests and 3/s.
func TestHedgesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 100
		log := newRunLog()
		a := newFakeServer("rail-01", log, answerAfter(5*time.Millisecond))
		b := newFakeServer("rail-02", log, answerAfter(5*time.Millisecond))
		w := newWorld(false, 3, Limits{MaxRetries: -1}, a, b)
		defer w.close()
		_, err := w.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		a.usual, b.usual = silence, silence
		start, runs := time.Now(), 0
		for range requests {
			r := newRequest(true)
			r.Deadline = time.Now().Add(100 * time.Millisecond)
			_, _ = w.holder.handle(t.Context(), r)
			runs += log.count(r.ID)
		}
		allowed := 0.1*(requests+1) + 3 + 3*time.Since(start).Seconds()
		is.True(runs > requests)
		is.True(float64(runs-requests) <= allowed)
	})
}

// Guards against a non-idempotent request that is hedged.
func TestNoHedgeOfNonIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("rail-01", log, answerAfter(time.Millisecond))
		b := newFakeServer("rail-02", log, answerAfter(time.Millisecond))
		w := newWorld(false, 3, Limits{}, a, b)
		defer w.close()
		_, err := w.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		a.script, b.script = []behaviour{answerAfter(500 * time.Millisecond)}, []behaviour{answerAfter(500 * time.Millisecond)}
		r := newRequest(false)
		_, err = w.holder.handle(t.Context(), r)
		is.NoErr(err)
		is.Equal(log.count(r.ID), 1)
	})
}

// slowBody yields one byte per pause.
type slowBody struct {
	rest  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.rest--
	p[0] = 'x'
	return 1, nil
}

// Guards against an upload that is ended by its total time, and against one
// that hangs for ever.
func TestUploadsAreLimitedByProgress(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		want  problem.Kind
	}{
		{"slow", 3 * time.Second, ""},
		{"stalled", time.Hour, problem.KindStalled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("atelier-01", newRunLog(), uploadThenAnswer)
				w := newWorld(true, 1, Limits{}, server)
				defer w.close()
				r := newRequest(false)
				r.Body, r.ContentLength = &slowBody{rest: 20, pause: c.pause}, 20
				text, err := w.holder.handle(t.Context(), r)
				if c.want == "" {
					is.NoErr(err)
					is.Equal(text, strings.Repeat("x", 20))
					return
				}
				is.Equal(problem.From(err).Kind, c.want)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
				time.Sleep(2 * c.pause) // the blocked source ends
			})
		})
	}
}

// uploadThenAnswer reads the request until its context ends and answers with its body.
func uploadThenAnswer(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
	read := make(chan string, 1)
	go func() {
		content, _ := io.ReadAll(r.Body)
		read <- string(content)
	}()
	select {
	case content := <-read:
		s.log.add(r.ID)
		return s.text(r.ID, content), nil
	case <-ctx.Done():
		return nil, written(problem.KindAnswerLost, ctx.Err())
	}
}

// Guards against a streamed answer whose slot is given back before its end, or
// never, and against one that the deadline cuts off.
func TestStreamedAnswerHoldsItsSlot(t *testing.T) {
	const size = 2 * AnswerBufferBytes
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("shashin-01", newRunLog(), func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Answer, error) {
			return s.answer(r.ID, &cancellableBody{ctx, strings.NewReader(strings.Repeat("x", size))}, size), nil
		})
		w := newWorld(true, 1, Limits{}, server)
		defer w.close()
		for _, whole := range []bool{true, false} {
			answer, err := w.holder.dispatcher.Handle(t.Context(), newRequest(true))
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			is.Equal(w.holder.targets[0].Gate.Running(), 1)
			is.Equal(w.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(1))
			if whole {
				n, err := io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				is.Equal(n, int64(size))
			}
			is.NoErr(answer.Body.Close())
			is.Equal(w.holder.targets[0].Gate.Running(), 0)
			is.Equal(w.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(0))
		}
	})
}

// cancellableBody ends with its context, as a connection does.
type cancellableBody struct {
	ctx context.Context
	io.Reader
}

func (b *cancellableBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

func (b *cancellableBody) Close() error { return nil }

// Guards against a request that is refused, or sent to the old owner, while its
// range moves.
func TestHeldRangeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("bosho-01", log, refuseConnection)
		b := newFakeServer("bosho-02", log, answerAfter(time.Millisecond))
		w := newWorld(true, 1, Limits{}, a, b)
		defer w.close()
		held := make(chan struct{})
		w.holder.replaceRange(func(r *route.Range) { r.Held = held })
		time.AfterFunc(300*time.Millisecond, func() {
			w.holder.replaceRange(func(r *route.Range) { r.Held, r.Owner = nil, w.holder.targets[1] })
			close(held)
		})
		start := time.Now()
		_, err := w.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		is.Equal(time.Since(start), 301*time.Millisecond)
	})
}

// replaceRange publishes a view with a changed range.
func (h *holder) replaceRange(change func(*route.Range)) {
	view := *h.views.Load()
	changed := view.Ranges[0]
	change(&changed)
	view.Ranges = []route.Range{changed}
	h.views.Store(&view)
}
