package facts

import "time"

// ConfirmRead records that the registry has the state of the store at the given time.
func (r *Registry) ConfirmRead(at time.Time) {
	r.ConfirmDomainsOut(at)
	for {
		old := r.read.Load()
		next := ReadSpan{Since: at, Until: at}
		if old != nil {
			next = old.extend(at)
		}
		if old != nil && !at.After(old.Until) || r.read.CompareAndSwap(old, &next) {
			return
		}
	}
}

// ConfirmDomainsOut records that the registry has the domains that were taken out at the given
// time.
func (r *Registry) ConfirmDomainsOut(at time.Time) {
	for {
		old := r.domainsReadAt.Load()
		if old != nil && !at.After(*old) || r.domainsReadAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// ForgetRead makes the age of the facts unknown: the clock by which it is counted has stood
// still.
func (r *Registry) ForgetRead() {
	r.read.Store(nil)
	r.domainsReadAt.Store(nil)
}

// ReadSnapshot returns the current snapshot and when the store was last read for it, or the
// zero time. The snapshot has all that was written to the store before: a time that is loaded
// after it could be that of the next reading.
func (r *Registry) ReadSnapshot() (snapshot *Snapshot, readAt time.Time) {
	if read, known := r.LastReadSpan(); known {
		readAt = read.Until
	}
	return r.Snapshot(), readAt
}

// LastReadSpan returns the span without a gap that ends with the last reading of the store, and
// false if there was none.
func (r *Registry) LastReadSpan() (ReadSpan, bool) {
	if read := r.read.Load(); read != nil {
		return *read, true
	}
	return ReadSpan{}, false
}

// Age returns how long ago the store was last read for this registry, and false if
// it never was.
func (r *Registry) Age(now time.Time) (time.Duration, bool) {
	read, known := r.LastReadSpan()
	return now.Sub(read.Until), known
}

// DomainsAge returns how long ago the domains that are taken out were last read for this registry,
// and false if they never were.
func (r *Registry) DomainsAge(now time.Time) (time.Duration, bool) {
	at := r.domainsReadAt.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
