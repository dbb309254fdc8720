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

// historyEvent is one fault or other event of a history.
type historyEvent struct {
	delay   time.Duration
	kind    string
	server  int
	domain  int
	latency time.Duration
}

// serversPerDomain is the number of servers in each failure domain of the test cluster.
const serversPerDomain = 3

var eventKinds = []string{
	"crash", "freeze", "return", "delay", "store-down", "store-up", "store-slow",
	"holder-cut", "holder-lost", "domain-out", "domain-in", "hot-key", "upload", "leave",
}

func drawHistory(t *rapid.T) []historyEvent {
	events := make([]historyEvent, rapid.IntRange(1, 12).Draw(t, "faults"))
	for i := range events {
		events[i] = historyEvent{
			delay:   time.Duration(rapid.IntRange(0, 900).Draw(t, "after")) * time.Millisecond,
			kind:    rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			server:  rapid.IntRange(0, 8).Draw(t, "server"),
			domain:  rapid.IntRange(0, 2).Draw(t, "domain"),
			latency: time.Duration(rapid.IntRange(20, 1500).Draw(t, "late")) * time.Millisecond,
		}
	}
	return events
}

// maxUnusableServers is how many of the 9 servers a history may lose or take out of
// service at a time. The committed servers of a range may all be among them.
const maxUnusableServers = 6

// historyRun applies a history to a test cluster. It skips faults that would leave fewer
// than 9 - maxUnusableServers servers.
type historyRun struct {
	cluster *testCluster
	// lostServers holds the kind of the event by which a server was lost.
	lostServers map[int]string
	outDomain   string
	uploads     []*route.RangeRef
}

// Compares the runtime with a record, behind one lock, of what each server accepts: no
// key has two owners at any instant, each key is served within 1 s of the last fault,
// and at the end by a server that a plain recomputation allows.
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

func runHistory(history []historyEvent) []string {
	tc := newTestCluster(9)
	tc.elect(tc.addInstance())
	tc.goroutines.Go(tc.watchService)
	tc.waitUntilServed()
	r := &historyRun{cluster: tc, lostServers: map[int]string{}}
	for _, event := range history {
		time.Sleep(event.delay)
		r.applyEvent(event)
	}
	for _, upload := range r.uploads {
		upload.Release()
	}
	time.Sleep(3 * time.Second)
	r.checkFinalOwners()
	tc.stopAll()
	if tc.longestGap > maxUnavailability {
		tc.violations = append(tc.violations, fmt.Sprintf("a key was not served for %v", tc.longestGap))
	}
	return tc.violations
}

// applyEvent carries out one event, and makes the time without service count from it.
func (r *historyRun) applyEvent(event historyEvent) {
	tc := r.cluster
	tc.resetGaps()
	switch event.kind {
	case "crash", "freeze", "leave":
		r.loseServer(event)
	case "return":
		r.returnServer(event.server)
	case "delay":
		r.delayMessages(event)
	case "store-down", "store-up":
		tc.store.setDown(event.kind == "store-down")
	case "store-slow":
		tc.store.setLatency(event.latency)
	case "holder-cut", "holder-lost":
		r.changeHolder(event.kind == "holder-lost")
	case "domain-out":
		if r.outDomain == "" && len(r.lostServers)+serversPerDomain <= maxUnusableServers && len(r.uploads) == 0 {
			r.outDomain = fmt.Sprintf("d%d", event.domain)
			tc.setOutOfService(r.outDomain, true)
		}
	case "domain-in":
		tc.setOutOfService(r.outDomain, false)
		r.outDomain = ""
	case "hot-key":
		r.sendHotKeyRequests(tc.sampledHashes[event.server])
	case "upload":
		r.startUpload(tc.sampledHashes[event.server])
	}
}

func (r *historyRun) loseServer(event historyEvent) {
	limit := maxUnusableServers
	if r.outDomain != "" {
		limit -= serversPerDomain
	}
	if len(r.lostServers) >= limit || r.lostServers[event.server] != "" || (event.kind == "leave" && len(r.uploads) > 0) {
		return
	}
	r.lostServers[event.server] = event.kind
	r.cluster.withLock(func() {
		s := r.cluster.servers[event.server]
		switch event.kind {
		case "crash":
			s.setDown(true)
		case "freeze":
			s.setFrozen(true)
		default:
			s.leaving = true
		}
	})
}

func (r *historyRun) returnServer(server int) {
	delete(r.lostServers, server)
	r.cluster.withLock(func() {
		s := r.cluster.servers[server]
		s.setFrozen(false)
		s.setDown(false)
		s.leaving = false
	})
}

// delayMessages delays the messages of one renewal to a server.
func (r *historyRun) delayMessages(event historyEvent) {
	if len(r.lostServers) > 0 || r.outDomain != "" {
		return
	}
	s := r.cluster.servers[event.server]
	r.cluster.withLock(func() { s.oneWayDelay = event.latency })
	time.Sleep(renewInterval)
	r.cluster.withLock(func() { s.oneWayDelay = 1500 * time.Microsecond })
	r.cluster.resetGaps()
}

func (r *historyRun) changeHolder(lost bool) {
	old := r.cluster.currentHolder
	next := r.cluster.addInstance()
	if lost {
		old.cancel()
	}
	r.cluster.replaceHolder(next)
}

// sendHotKeyRequests sends requests for one key for a second.
func (r *historyRun) sendHotKeyRequests(h key.Hash) {
	for range 1000 {
		time.Sleep(time.Millisecond)
		runtime := r.cluster.currentHolder.runtime
		ref, _ := route.Acquire(runtime.Views(), h)
		if ref == nil {
			continue
		}
		runtime.Observe(h)
		ref.Release()
	}
}

// startUpload leaves a request in flight until the end of the history. A range that
// moves off a server that is leaving or out of service waits for it, as section 3.3 of
// the design page says, so a history has either uploads or departures.
func (r *historyRun) startUpload(h key.Hash) {
	if r.outDomain != "" || slices.Contains(slices.Collect(maps.Values(r.lostServers)), "leave") {
		return
	}
	if ref, _ := route.Acquire(r.cluster.currentHolder.runtime.Views(), h); ref != nil {
		r.uploads = append(r.uploads, ref)
	}
}

// checkFinalOwners compares the final owners with a plain recomputation of which
// servers may serve at all. A move may be in progress.
func (r *historyRun) checkFinalOwners() {
	allowed := map[string]bool{}
	for i, config := range r.cluster.settings {
		allowed[config.Name] = !config.OutOfService && r.lostServers[i] == ""
	}
	for _, h := range r.cluster.sampledHashes {
		name := r.cluster.ownerName(h)
		if name == "" {
			time.Sleep(maxMoveGap)
			name = r.cluster.ownerName(h)
		}
		if !allowed[name] {
			r.cluster.violations = append(r.cluster.violations, fmt.Sprintf("at the end, hash %016x is served by %q", uint64(h), name))
		}
	}
}
