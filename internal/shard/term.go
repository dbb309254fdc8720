package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/route"
)

// term is the holder's work during one tenure. Its fields belong to the runtime's goroutine.
type term struct {
	runtime *Runtime
	options *Options
	ctx     context.Context
	cancel  context.CancelFunc

	tenure *authority.Tenure
	config *Config
	links  map[string]*link
	// graves are the books of servers that are no longer known but may own ranges.
	graves []*grant.Tracker
	rows   []*row
	// whole counts the requests of a service that is not partitioned by key.
	whole *route.RangeState

	answers chan answer
	loads   chan loadResult
	commits chan commitResult
	wake    chan struct{}
	alarm   alarm

	loading      bool
	loaded       bool
	loadRetries  int
	loadAt       time.Time
	planner      *assign.Planner
	slow         assign.SlowDetector
	sketch       *hotkey.Sketch
	committed    assign.Assignment
	committing   bool
	commitErrors int
	commitAt     time.Time
	planAt       time.Time
	measuredAt   time.Time
	totalRate    float64
	counters     counters

	listsDirty bool
	viewDirty  bool
	closeHeld  chan struct{}
	quiesce    *quiesce
	// surrenders is not empty once all grants are to be taken back.
	surrenders []*surrender
}

// newTerm returns the term that begins with tenure.
func newTerm(ctx context.Context, r *Runtime, tenure *authority.Tenure, now time.Time) *term {
	ctx, cancel := context.WithCancel(ctx)
	t := &term{
		runtime:    r,
		options:    &r.options,
		ctx:        ctx,
		cancel:     cancel,
		tenure:     tenure,
		links:      map[string]*link{},
		graves:     r.graves,
		answers:    make(chan answer, 64),
		loads:      make(chan loadResult, 1),
		commits:    make(chan commitResult, 1),
		wake:       make(chan struct{}, 1),
		planner:    assign.NewPlanner(),
		sketch:     hotkey.NewSketch(sketchCounters),
		measuredAt: now,
		planAt:     now,
		viewDirty:  true,
		whole:      route.NewRangeState(),
	}
	t.adoptConfig(now)
	return t
}

// run works until the tenure or the context ends.
func (t *term) run() {
	t.options.Log.Emit(events.GrantsBegun, "shard", t.options.Shard.String(), "token", t.tenure.Token.String())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for t.step(time.Now()) {
		timer.Reset(t.alarm.wait(time.Now()))
		select {
		case <-t.ctx.Done():
		case <-t.options.Tenures.Changed():
		case <-t.options.Config.changed:
		case a := <-t.answers:
			t.answered(a, time.Now())
			t.takeWaitingAnswers()
		case result := <-t.loads:
			t.loadEnded(result, time.Now())
		case result := <-t.commits:
			t.commitEnded(result, time.Now())
		case q := <-t.runtime.quiesces:
			t.beginQuiesce(q)
		case s := <-t.runtime.surrenders:
			t.beginSurrender(s)
		case <-t.wake:
		case <-timer.C:
		}
	}
	t.end(time.Now())
}

// takeWaitingAnswers handles the answers that have already arrived, so that many
// answers cost one step.
func (t *term) takeWaitingAnswers() {
	for {
		select {
		case a := <-t.answers:
			t.answered(a, time.Now())
		default:
			return
		}
	}
}

// step does everything that is due at now. It returns false when the term has ended.
func (t *term) step(now time.Time) bool {
	t.alarm.clear()
	if t.ctx.Err() != nil || !t.adoptTenure(now) {
		return false
	}
	t.alarm.at(t.tenure.End)
	t.adoptConfig(now)
	t.markReady(now)
	t.load(now)
	t.measure(now)
	t.plan(now)
	t.settle(now)
	t.send(now)
	t.checkSurrender(now)
	t.dropRemoved(now)
	return true
}

// settle advances the ranges until nothing changes, and publishes after each
// round: a range counts as held only once requests can see it.
func (t *term) settle(now time.Time) {
	t.publish()
	for t.advance(now) {
		t.publish()
	}
	t.checkQuiesce()
}

// adoptTenure takes over a renewed tenure. It returns false when the tenure has
// ended or another one has begun.
func (t *term) adoptTenure(now time.Time) bool {
	next := t.options.Tenures.Tenure()
	if !next.ValidAt(now, 0) || !next.Since.Equal(t.tenure.Since) {
		return false
	}
	if next != t.tenure {
		t.tenure = next
		t.viewDirty = true
	}
	return true
}

// end publishes that the shard is not held here, and keeps the books of grants
// that may outlast the term.
func (t *term) end(now time.Time) {
	t.cancel()
	t.runtime.views.Store(nil)
	t.runtime.status.Store(nil)
	if t.closeHeld != nil {
		close(t.closeHeld)
	}
	for _, r := range t.rows {
		r.stopWatching()
	}
	t.endQuiesce()
	t.endSurrender()
	for _, l := range t.links {
		t.graves = append(t.graves, &l.book)
	}
	t.runtime.graves = t.graves
	t.pruneGraves(now)
	t.runtime.graves = t.graves
	t.options.Log.Emit(events.GrantsEnded, "shard", t.options.Shard.String(), "token", t.tenure.Token.String())
}
