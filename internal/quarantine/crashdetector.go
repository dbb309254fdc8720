package quarantine

import (
	"sync/atomic"
	"time"
)

// crashWindow is the maximum time between a lost connection and the evidence that the
// server crashed.
const crashWindow = time.Second

// CrashDetector determines which requests were in flight when a server crashed. A crash
// is recognised by two signs: connections that are lost without a response, and evidence
// (a new incarnation or a refused connection) within crashWindow of that.
type CrashDetector struct {
	state atomic.Pointer[crashState]
}

// NewCrashDetector returns a detector without observations.
func NewCrashDetector() *CrashDetector {
	d := &CrashDetector{}
	d.state.Store(&crashState{})
	return d
}

// ConnectionLost records that the connection of a request was lost without a response. It
// returns the fingerprints to mark: f itself if evidence of a crash came after the
// request was dispatched and at most crashWindow ago, and none otherwise.
func (d *CrashDetector) ConnectionLost(f Fingerprint, dispatched, now time.Time) []Fingerprint {
	for {
		old := d.state.Load()
		if old.lastEvidence.After(dispatched) && now.Sub(old.lastEvidence) <= crashWindow {
			return []Fingerprint{f}
		}
		next := &crashState{lastEvidence: old.lastEvidence}
		next.suspects = append(recentSuspects(old.suspects, now), suspect{fingerprint: f, lostAt: now})
		if d.state.CompareAndSwap(old, next) {
			return nil
		}
	}
}

// CrashObserved records evidence of a crash and returns the fingerprints to mark. Each
// suspect is returned only once.
func (d *CrashDetector) CrashObserved(now time.Time) []Fingerprint {
	for {
		old := d.state.Load()
		suspects := recentSuspects(old.suspects, now)
		if len(suspects) == 0 && old.lastEvidence.Equal(now) {
			return nil
		}
		if !d.state.CompareAndSwap(old, &crashState{lastEvidence: now}) {
			continue
		}
		fingerprints := make([]Fingerprint, 0, len(suspects))
		for _, s := range suspects {
			fingerprints = append(fingerprints, s.fingerprint)
		}
		return fingerprints
	}
}

// HasSuspects reports whether evidence of a crash at now would mark a request.
func (d *CrashDetector) HasSuspects(now time.Time) bool {
	return len(recentSuspects(d.state.Load().suspects, now)) > 0
}

// recentSuspects returns a copy of the suspects whose connection was lost within
// crashWindow before now.
func recentSuspects(all []suspect, now time.Time) []suspect {
	kept := make([]suspect, 0, len(all)+1)
	for _, s := range all {
		if now.Sub(s.lostAt) <= crashWindow {
			kept = append(kept, s)
		}
	}
	return kept
}
