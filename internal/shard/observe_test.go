package shard

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// check notes every hash that two servers accept. The caller holds the lock.
func (w *world) check() {
	for _, h := range w.hashes {
		owner := ""
		for _, s := range w.servers {
			if !s.accepts(h) {
				continue
			}
			if owner != "" && len(w.faults) < 5 {
				w.faults = append(w.faults, fmt.Sprintf("hash %016x is accepted by %s and %s", uint64(h), owner, s.name))
			}
			owner = s.name
		}
	}
}

// watch checks service every 2 milliseconds. Ownership is checked whenever a server
// takes a message, since no server accepts more at any other time.
func (w *world) watch() {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			w.measure()
			w.mu.Unlock()
		}
	}
}

// measure tracks since when each hash has not been served.
func (w *world) measure() {
	for _, h := range w.hashes {
		if w.served(h) != "" {
			delete(w.unserved, h)
			continue
		}
		since, known := w.unserved[h]
		if !known {
			since = time.Now()
			w.unserved[h] = since
		}
		w.gaps[h] = max(w.gaps[h], time.Since(since))
		w.longest = max(w.longest, w.gaps[h])
	}
}

// served returns the server that requests for h reach and that accepts them.
func (w *world) served(h key.Hash) string {
	if w.naive {
		return w.accepting(h)
	}
	for _, holder := range w.holders {
		view := holder.runtime.Views().Load()
		if view == nil || !view.Tenure.ValidAt(time.Now(), 0) {
			continue
		}
		row := view.Find(h)
		if row == nil || row.Held != nil || row.Owner == nil {
			continue
		}
		if s := row.Owner.Server.(*fakeServer); s.thaw == nil && s.accepts(h) {
			return s.name
		}
	}
	return ""
}

// accepting returns a server that accepts h and is not frozen.
func (w *world) accepting(h key.Hash) string {
	for _, s := range w.servers {
		if s.thaw == nil && s.accepts(h) {
			return s.name
		}
	}
	return ""
}

// ownerName returns the name of the server that serves h now, or an empty one.
func (w *world) ownerName(h key.Hash) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served(h)
}

// ownerOf returns the server that serves h now.
func (w *world) ownerOf(h key.Hash) *fakeServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := w.served(h)
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// settle waits until the shard has been planned and served, and forgets gaps.
func (w *world) settle() {
	time.Sleep(1500 * time.Millisecond)
	w.update(func() { w.longest, w.gaps = 0, map[key.Hash]time.Duration{} })
}

// resetGap lets the time without service count from now.
func (w *world) resetGap() {
	w.update(func() { w.unserved = map[key.Hash]time.Time{} })
}

// gap returns the longest time without service since settle.
func (w *world) gap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}
