package facts

import (
	"context"
	"sync"
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
	// maxReading is how long a reading takes at most, unless the process stood still meanwhile.
	maxReading = 2 * readTimeout
	// relistPeriod is how long live servers may take to be listed again after an outage.
	relistPeriod = 2200 * time.Millisecond
)

// Reader reads the facts from the store into a registry. It is safe for concurrent use:
// readings may overlap, and one that is older than the registry changes nothing.
type Reader struct {
	source   Source
	registry *Registry
	log      *events.Logger
	mu       sync.Mutex // protects the fields below
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
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	var listing fleet.Listing
	var listingErr error
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		listing, listingErr = r.source.Listing(ctx)
	}()
	settings, settingsErr := r.source.OperatorSettings(ctx)
	<-listed
	r.mu.Lock()
	defer r.mu.Unlock()
	if settingsErr == nil {
		settings.DomainsOut = r.registry.KeepKnownDomains(settings.DomainsOut, settings.Era, began)
		r.registry.UpdateOperatorSettings(settings, began)
	}
	if listingErr == nil {
		r.applyListing(began, listing)
		r.failed = false
	} else if time.Since(began) < maxReading {
		r.failed = true
	}
	err := listingErr
	if err == nil {
		err = settingsErr
	}
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
