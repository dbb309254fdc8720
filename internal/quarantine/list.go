package quarantine

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// DefaultDuration is how long a fingerprint stays marked or refused.
	DefaultDuration = 10 * time.Minute
	// tolerance is the difference of two expiries that counts as none: the
	// remaining time ages on its way between instances, and without a tolerance
	// the entry would be renewed by each exchange and never expire.
	tolerance = 2 * time.Second
	// maxMarks bounds the list; beyond it the marks that expire first are dropped.
	maxMarks = 10000
)

// List holds the marked fingerprints of one instance. Requests read an immutable
// snapshot; changes are rare and replace it as a whole.
type List struct {
	marks atomic.Pointer[map[Fingerprint]mark]
	// duration is in nanoseconds.
	duration atomic.Int64
}

// NewList returns an empty list.
func NewList() *List {
	l := &List{}
	l.marks.Store(&map[Fingerprint]mark{})
	l.SetDuration(DefaultDuration)
	return l
}

// SetDuration changes how long later marks stay.
func (l *List) SetDuration(d time.Duration) {
	l.duration.Store(int64(d))
}

func (l *List) lifetime() time.Duration {
	return time.Duration(l.duration.Load())
}

// Verdict says how a request may run at now, and how long that holds.
func (l *List) Verdict(f Fingerprint, now time.Time) (Verdict, time.Duration) {
	marks := *l.marks.Load()
	if len(marks) == 0 {
		return Unrestricted, 0
	}
	m, ok := marks[f]
	if !ok || !m.until.After(now) {
		return Unrestricted, 0
	}
	return verdictOf(m.crashes), m.until.Sub(now)
}

// Mark counts one crash for each fingerprint that was in flight.
func (l *List) Mark(service string, fingerprints []Fingerprint, now time.Time) {
	l.change(now, func(marks map[Fingerprint]mark) {
		for _, f := range fingerprints {
			marks[f] = mark{service: service, crashes: marks[f].crashes + 1, until: now.Add(l.lifetime())}
		}
	})
}

// Clear takes the mark off a request that succeeded alone. The entry stays as
// cleared, so that other instances learn it too.
func (l *List) Clear(f Fingerprint, now time.Time) {
	l.change(now, func(marks map[Fingerprint]mark) {
		if m, ok := marks[f]; ok {
			marks[f] = mark{service: m.service, until: now.Add(l.lifetime())}
		}
	})
}

// Merge takes over what another instance knows and reports whether anything changed.
func (l *List) Merge(entries []Entry, now time.Time) bool {
	changed := false
	l.change(now, func(marks map[Fingerprint]mark) {
		changed = false
		for _, e := range entries {
			theirs := mark{service: e.Service, crashes: e.Crashes, until: now.Add(min(e.Remaining, l.lifetime()))}
			mine, known := marks[e.Fingerprint]
			if !known && theirs.until.After(now) || known && theirs.supersedes(mine) {
				marks[e.Fingerprint] = theirs
				changed = true
			}
		}
	})
	return changed
}

// Entries returns all marks in force for the exchange with another instance.
func (l *List) Entries(now time.Time) []Entry {
	marks := *l.marks.Load()
	entries := make([]Entry, 0, len(marks))
	for f, m := range marks {
		if m.until.After(now) {
			entries = append(entries, Entry{Fingerprint: f, Service: m.service, Crashes: m.crashes, Remaining: m.until.Sub(now)})
		}
	}
	return entries
}

// Digest is equal at two instances that know the same crashes.
func (l *List) Digest(now time.Time) uint64 {
	var digest uint64
	for f, m := range *l.marks.Load() {
		if m.until.After(now) {
			digest ^= mix(uint64(f) + uint64(m.crashes))
		}
	}
	return digest
}

// mix is the finalizer of splitmix64; it keeps the digests of near values apart.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// change replaces the snapshot by a changed copy without expired marks.
func (l *List) change(now time.Time, apply func(map[Fingerprint]mark)) {
	for {
		old := l.marks.Load()
		next := maps.Clone(*old)
		maps.DeleteFunc(next, func(_ Fingerprint, m mark) bool { return !m.until.After(now) })
		apply(next)
		trim(next)
		if l.marks.CompareAndSwap(old, &next) {
			return
		}
	}
}

func trim(marks map[Fingerprint]mark) {
	for len(marks) > maxMarks {
		var first Fingerprint
		var until time.Time
		for f, m := range marks {
			if until.IsZero() || m.until.Before(until) {
				first, until = f, m.until
			}
		}
		delete(marks, first)
	}
}
