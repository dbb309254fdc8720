package quarantine

import (
	"sync/atomic"
	"time"
)

// crashWindow is the time between a dead connection and the evidence that the
// server crashed.
const crashWindow = time.Second

// CrashDetector decides which requests were in flight when one server crashed. A crash
// has two signs: connections that die without an answer, and a new incarnation
// or a refused connection within crashWindow of that.
type CrashDetector struct {
	state atomic.Pointer[watchState]
}

// NewCrashDetector returns a watch that has seen nothing.
func NewCrashDetector() *CrashDetector {
	w := &CrashDetector{}
	w.state.Store(&watchState{})
	return w
}

// ConnectionLost reports that the connection of a request died without an answer. It
// returns the fingerprints to mark: the request itself, when the evidence came
// after its dispatch and less than crashWindow ago.
func (w *CrashDetector) ConnectionLost(f Fingerprint, dispatched, now time.Time) []Fingerprint {
	for {
		old := w.state.Load()
		if old.crashed.After(dispatched) && now.Sub(old.crashed) <= crashWindow {
			return []Fingerprint{f}
		}
		next := &watchState{crashed: old.crashed}
		next.suspects = append(recent(old.suspects, now), suspect{fingerprint: f, died: now})
		if w.state.CompareAndSwap(old, next) {
			return nil
		}
	}
}

// CrashObserved reports evidence of a crash and returns the fingerprints to mark, each once.
func (w *CrashDetector) CrashObserved(now time.Time) []Fingerprint {
	for {
		old := w.state.Load()
		suspects := recent(old.suspects, now)
		if len(suspects) == 0 && old.crashed.Equal(now) {
			return nil
		}
		if !w.state.CompareAndSwap(old, &watchState{crashed: now}) {
			continue
		}
		fingerprints := make([]Fingerprint, 0, len(suspects))
		for _, s := range suspects {
			fingerprints = append(fingerprints, s.fingerprint)
		}
		return fingerprints
	}
}

// HasSuspects reports whether evidence that comes now would mark a request.
func (w *CrashDetector) HasSuspects(now time.Time) bool {
	return len(recent(w.state.Load().suspects, now)) > 0
}

// recent returns a copy of the suspects that died within crashWindow.
func recent(all []suspect, now time.Time) []suspect {
	kept := make([]suspect, 0, len(all)+1)
	for _, s := range all {
		if now.Sub(s.died) <= crashWindow {
			kept = append(kept, s)
		}
	}
	return kept
}
