package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
	"pgregory.net/rapid"
)

// fault is one event of a history.
type fault struct {
	after  time.Duration
	kind   string
	server int
	domain int
	late   time.Duration
}

var faultKinds = []string{
	"crash", "freeze", "return", "delay", "store-down", "store-up", "store-slow",
	"holder-cut", "holder-lost", "domain-out", "domain-in", "hot-key", "upload", "leave",
}

func drawHistory(t *rapid.T) []fault {
	faults := make([]fault, rapid.IntRange(1, 12).Draw(t, "faults"))
	for i := range faults {
		faults[i] = fault{
			after:  time.Duration(rapid.IntRange(0, 900).Draw(t, "after")) * time.Millisecond,
			kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			server: rapid.IntRange(0, 8).Draw(t, "server"),
			domain: rapid.IntRange(0, 2).Draw(t, "domain"),
			late:   time.Duration(rapid.IntRange(20, 1500).Draw(t, "late")) * time.Millisecond,
		}
	}
	return faults
}

// historyRun applies a history to a world. It skips faults beyond what the design
// tolerates: three committed servers of a range must not all be gone.
type historyRun struct {
	w       *world
	gone    map[int]string
	out     string
	uploads []*route.Entry
}

// Compares the runtime with a plain map of what each server accepts, behind one
// lock: no key has two owners at any instant, each is served within 1 s of the
// last fault, and in the end by a server that a plain recomputation allows.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		var found []string
		synctest.Test(t, func(*testing.T) { found = runHistory(history) })
		for _, text := range found {
			rt.Error(text)
		}
	})
}

func runHistory(history []fault) []string {
	w := newWorld(9)
	w.take(w.addHolder())
	w.running.Go(w.watch)
	w.settle()
	r := &historyRun{w: w, gone: map[int]string{}}
	for _, f := range history {
		time.Sleep(f.after)
		r.apply(f)
	}
	for _, upload := range r.uploads {
		upload.Leave()
	}
	time.Sleep(3 * time.Second)
	r.compare()
	w.stopAll()
	if w.longest > servedWithin {
		w.faults = append(w.faults, fmt.Sprintf("a key was not served for %v", w.longest))
	}
	return w.faults
}

// apply brings one fault about, and lets the time without service count from it.
func (r *historyRun) apply(f fault) {
	w := r.w
	w.resetGap()
	switch f.kind {
	case "crash", "freeze", "leave":
		r.lose(f)
	case "return":
		r.giveBack(f.server)
	case "delay":
		r.delay(f)
	case "store-down", "store-up":
		w.store.setDown(f.kind == "store-down")
	case "store-slow":
		w.store.setLatency(f.late)
	case "holder-cut", "holder-lost":
		r.changeHolder(f.kind == "holder-lost")
	case "domain-out":
		if r.out == "" && len(r.gone) <= 1 && len(r.uploads) == 0 {
			r.out = fmt.Sprintf("d%d", f.domain)
			w.setOut(r.out, true)
		}
	case "domain-in":
		w.setOut(r.out, false)
		r.out = ""
	case "hot-key":
		r.heat(w.hashes[f.server])
	case "upload":
		r.upload(w.hashes[f.server])
	}
}

func (r *historyRun) lose(f fault) {
	limit := 2
	if r.out != "" {
		limit = 1
	}
	if len(r.gone) >= limit || r.gone[f.server] != "" || (f.kind == "leave" && len(r.uploads) > 0) {
		return
	}
	r.gone[f.server] = f.kind
	r.w.update(func() {
		s := r.w.servers[f.server]
		switch f.kind {
		case "crash":
			s.setDown(true)
		case "freeze":
			s.setFrozen(true)
		default:
			s.leaving = true
		}
	})
}

func (r *historyRun) giveBack(server int) {
	delete(r.gone, server)
	r.w.update(func() {
		s := r.w.servers[server]
		s.setFrozen(false)
		s.setDown(false)
		s.leaving = false
	})
}

// delay lets the messages of one renewal to a server arrive late.
func (r *historyRun) delay(f fault) {
	if len(r.gone) > 0 || r.out != "" {
		return
	}
	s := r.w.servers[f.server]
	r.w.update(func() { s.oneWay = f.late })
	time.Sleep(renewEvery)
	r.w.update(func() { s.oneWay = 1500 * time.Microsecond })
	r.w.resetGap()
}

func (r *historyRun) changeHolder(lost bool) {
	old := r.w.holder
	next := r.w.addHolder()
	if lost {
		old.cancel()
	}
	r.w.succeed(next)
}

// heat sends requests for one key for a second.
func (r *historyRun) heat(h key.Hash) {
	for range 1000 {
		time.Sleep(time.Millisecond)
		runtime := r.w.holder.runtime
		entry, _ := route.Enter(runtime.Views(), h)
		if entry == nil {
			continue
		}
		runtime.Observe(h)
		entry.Leave()
	}
}

// upload leaves a request in flight until the history ends. A range that is taken
// off a server that leaves or is out waits for it, as section 3.3 of the design
// page says, so histories have uploads or departures, not both.
func (r *historyRun) upload(h key.Hash) {
	if r.out != "" || slices.Contains(slices.Collect(maps.Values(r.gone)), "leave") {
		return
	}
	if entry, _ := route.Enter(r.w.holder.runtime.Views(), h); entry != nil {
		r.uploads = append(r.uploads, entry)
	}
}

// compare checks the end of the history against a plain recomputation of which
// servers may serve at all.
func (r *historyRun) compare() {
	allowed := map[string]bool{}
	for i, c := range r.w.settings {
		allowed[c.Name] = !c.OutOfService && r.gone[i] == ""
	}
	for _, h := range r.w.hashes {
		if name := r.w.ownerName(h); !allowed[name] {
			r.w.faults = append(r.w.faults, fmt.Sprintf("in the end hash %016x is served by %q", uint64(h), name))
		}
	}
}
