package quarantine

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// DefaultDuration is how long a fingerprint stays marked.
	DefaultDuration = 10 * time.Minute
	// expiryTolerance is the difference up to which two expiry times count as equal. The
	// remaining time in a message is too long by the time that the message took. Without
	// a tolerance each exchange would renew the entry, and it would never expire.
	expiryTolerance = 2 * time.Second
	// maxMarks limits the list; beyond it the marks that expire first are evicted.
	maxMarks = 10000
)

// List holds the marked fingerprints of one instance. Requests read an immutable
// snapshot; updates are rare and replace it by a copy.
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

// SetDuration sets the time after which marks expire that are added from now on.
func (l *List) SetDuration(d time.Duration) {
	l.duration.Store(int64(d))
}

func (l *List) lifetime() time.Duration {
	return time.Duration(l.duration.Load())
}

// Verdict returns how a request may run at now, and the time until its mark expires.
func (l *List) Verdict(f Fingerprint, now time.Time) (Verdict, time.Duration) {
	marks := *l.marks.Load()
	if len(marks) == 0 {
		return Unrestricted, 0
	}
	m, ok := marks[f]
	if !ok || !m.expiresAt.After(now) {
		return Unrestricted, 0
	}
	return verdictOf(m.crashes), m.expiresAt.Sub(now)
}

// Mark counts one crash for each of the fingerprints, whose requests were in flight.
func (l *List) Mark(service string, fingerprints []Fingerprint, now time.Time) {
	l.update(now, func(marks map[Fingerprint]mark) {
		for _, f := range fingerprints {
			marks[f] = mark{service: service, crashes: marks[f].crashes + 1, expiresAt: now.Add(l.lifetime())}
		}
	})
}

// Clear removes the restrictions of a marked request after it succeeded in exclusive use
// of its server. The entry stays in the list with 0 crashes, so that other instances
// learn of it.
func (l *List) Clear(f Fingerprint, now time.Time) {
	l.update(now, func(marks map[Fingerprint]mark) {
		if m, ok := marks[f]; ok {
			marks[f] = mark{service: m.service, expiresAt: now.Add(l.lifetime())}
		}
	})
}

// Merge adds the entries of another instance and reports whether anything changed.
func (l *List) Merge(entries []Entry, now time.Time) bool {
	changed := false
	l.update(now, func(marks map[Fingerprint]mark) {
		changed = false
		for _, e := range entries {
			remote := mark{service: e.Service, crashes: e.Crashes, expiresAt: now.Add(min(e.Remaining, l.lifetime()))}
			local, known := marks[e.Fingerprint]
			if !known && remote.expiresAt.After(now) || known && remote.supersedes(local) {
				marks[e.Fingerprint] = remote
				changed = true
			}
		}
	})
	return changed
}

// Entries returns all marks that have not expired, for the exchange with another
// instance.
func (l *List) Entries(now time.Time) []Entry {
	marks := *l.marks.Load()
	entries := make([]Entry, 0, len(marks))
	for f, m := range marks {
		if m.expiresAt.After(now) {
			entries = append(entries, Entry{Fingerprint: f, Service: m.service, Crashes: m.crashes, Remaining: m.expiresAt.Sub(now)})
		}
	}
	return entries
}

// Digest returns a hash of the marks that have not expired. It is equal at two instances
// that know the same fingerprints and crashes.
func (l *List) Digest(now time.Time) uint64 {
	var digest uint64
	for f, m := range *l.marks.Load() {
		if m.expiresAt.After(now) {
			digest ^= mix64(uint64(f) + uint64(m.crashes))
		}
	}
	return digest
}

// mix64 is the finalizer of splitmix64. It gives similar values unrelated hashes.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// update replaces the snapshot by a copy without expired marks to which apply was applied.
// It may call apply more than once.
func (l *List) update(now time.Time, apply func(map[Fingerprint]mark)) {
	for {
		old := l.marks.Load()
		next := maps.Clone(*old)
		maps.DeleteFunc(next, func(_ Fingerprint, m mark) bool { return !m.expiresAt.After(now) })
		apply(next)
		evictEarliest(next)
		if l.marks.CompareAndSwap(old, &next) {
			return
		}
	}
}

func evictEarliest(marks map[Fingerprint]mark) {
	for len(marks) > maxMarks {
		var first Fingerprint
		var until time.Time
		for f, m := range marks {
			if until.IsZero() || m.expiresAt.Before(until) {
				first, until = f, m.expiresAt
			}
		}
		delete(marks, first)
	}
}
