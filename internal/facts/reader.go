package facts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// readTimeout limits one reading. A slow store still answers within it.
	readTimeout = 900 * time.Millisecond
	// outageThreshold is the time without a reading after which entries may have expired
	// because servers could not renew them. An entry is valid for three heartbeats.
	outageThreshold = 2400 * time.Millisecond
	// slowReadTimeout limits a reading for which nobody waits. The source ends one that makes no
	// progress sooner.
	slowReadTimeout = 4 * time.Second
	// relistPeriod is how long live servers may take to be listed again after an outage.
	relistPeriod = 2200 * time.Millisecond
)

// Reader reads the facts from the store into a registry. It is safe for concurrent use:
// readings may overlap, and one that is older than the registry changes nothing.
type Reader struct {
	source   Source
	registry *Registry
	log      *events.Logger
	// slow is the slow reading that is under way, or nil.
	slow atomic.Pointer[sharedReading]
	mu   sync.Mutex // protects the fields below
	// failed is set if a reading of the listing has failed since the last one that succeeded. A
	// process that stood still has made none.
	failed bool
	// outage is the last span in which the store may have been out, and returned holds the
	// servers that were listed since.
	outage   ReadSpan
	returned map[fleet.Incarnation]bool
	// observed is the latest span without an outage that another instance has told.
	observed ReadSpan
	// listed is the last listing, without servers that are retained, and listedAt when it was
	// read.
	listed   fleet.Listing
	listedAt time.Time
	// unreadable holds the keys of the entries that the last reading could not decode.
	unreadable map[string]bool
	storeLost  bool
}

// NewReader returns a reader.
func NewReader(source Source, registry *Registry, log *events.Logger) *Reader {
	return &Reader{source: source, registry: registry, log: log, unreadable: map[string]bool{}}
}

// Read reads all facts once. It returns an error if a part of them could not be read; the
// other part is applied, and the facts count as read only as of an earlier reading.
func (r *Reader) Read(ctx context.Context) error {
	return r.readWithin(ctx, readTimeout)
}

// ReadSlowly is Read for a caller that does not wait for the end: a reading that makes progress
// may take longer, so that a long configuration arrives over a slow link.
func (r *Reader) ReadSlowly(ctx context.Context) error {
	next := &sharedReading{beganAt: time.Now(), done: make(chan struct{})}
	r.slow.Store(next)
	next.err = r.readWithin(ctx, slowReadTimeout)
	r.slow.CompareAndSwap(next, nil)
	close(next.done)
	return next.err
}

// JoinOrRead is Read, but waits for a slow reading instead if one is under way: two at a time would
// share the link.
func (r *Reader) JoinOrRead(ctx context.Context) error {
	slow := r.slow.Load()
	if slow == nil {
		return r.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case <-slow.done:
		return slow.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Reader) readWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	var listingErr error
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		listingErr = r.readListing(ctx, began, limit)
	}()
	settings, err := r.source.OperatorSettings(ctx)
	if err == nil {
		settings.DomainsOut = r.registry.KeepKnownDomains(settings.DomainsOut, settings.Era, began)
		r.registry.UpdateOperatorSettings(settings, began)
	}
	<-listed
	if listingErr != nil {
		err = listingErr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.registry.ConfirmRead(began)
		if r.storeLost {
			r.storeLost = false
			r.log.Emit(events.StoreRegained)
		}
	case !r.storeLost && ctx.Err() != context.Canceled:
		r.storeLost = true
		r.log.Emit(events.StoreLost, "detail", err.Error())
	}
	return err
}

// readListing reads and applies the listing, for a reading that began at the given time and may take
// as long as the limit.
func (r *Reader) readListing(ctx context.Context, began time.Time, limit time.Duration) error {
	listing, err := r.source.Listing(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.applyListing(began, listing)
		r.failed = false
	} else if time.Since(began) < 2*limit { // it takes longer only if the process stood still
		r.failed = true
	}
	return err
}

// ReadDomainsOut reads only the failure domains that are taken out: a long configuration may not
// arrive in time over a slow link.
func (r *Reader) ReadDomainsOut(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	domains, err := r.source.DomainsOut(ctx)
	if err != nil {
		return err
	}
	domains.Domains = r.registry.KeepKnownDomains(domains.Domains, domains.Era, began)
	r.registry.UpdateDomainsOut(domains, began)
	r.registry.ConfirmDomainsOut(began)
	return nil
}

// applyListing applies a listing. After a gap between two readings, entries of living servers may
// have expired if the store was out. It was not if no reading has failed, or if another instance
// has read it meanwhile: then a server that is missing has left.
func (r *Reader) applyListing(began time.Time, listing fleet.Listing) {
	if last, known := r.registry.LastReadSpan(); known && r.failed && began.Sub(last.Until) > outageThreshold {
		r.outage, r.returned = ReadSpan{Since: last.Until, Until: began}, map[fleet.Incarnation]bool{}
	}
	r.logUnreadable(listing.Unreadable)
	r.listed, r.listedAt = listing, began
	r.publish()
}

// publish puts the last listing into the registry.
func (r *Reader) publish() {
	listing := r.listed
	if r.mayLack() && !r.observed.rulesOut(r.outage) {
		for _, s := range listing.Servers {
			r.returned[s.Incarnation] = true
		}
		listing.Servers = RetainMissing(r.notReturned(), listing.Servers)
	}
	r.registry.UpdateListing(r.registry.KeepKnownServers(listing, r.listedAt), r.listedAt)
}

// notReturned returns the known servers that have not been listed since the outage.
func (r *Reader) notReturned() []fleet.Server {
	var servers []fleet.Server
	for _, s := range r.registry.Snapshot().Servers {
		if !r.returned[s.Incarnation] {
			servers = append(servers, s)
		}
	}
	return servers
}

// Observe notes a span in which another instance has read the store without a gap. If it rules
// out the last outage, the servers that are retained because of that are dropped.
func (r *Reader) Observe(span ReadSpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !span.Until.After(r.observed.Until) {
		return
	}
	r.observed = span
	if r.mayLack() && span.rulesOut(r.outage) {
		r.publish()
	}
}

// mayLack reports whether entries of living servers may be missing in the last listing.
func (r *Reader) mayLack() bool {
	return r.listedAt.Sub(r.outage.Until) < relistPeriod
}

// logUnreadable logs each entry that has become unreadable since the last reading.
func (r *Reader) logUnreadable(entries []fleet.UnreadableEntry) {
	unreadable := make(map[string]bool, len(entries))
	for _, e := range entries {
		unreadable[e.Key] = true
		if !r.unreadable[e.Key] {
			r.log.Emit(events.EntryUnreadable, "entry", e.Key, "detail", e.Reason)
		}
	}
	r.unreadable = unreadable
}
