package backend

import (
	"context"
	"sync"
	"time"
)

const (
	// maxSharedTime is how long two servers may hold a grant of the same key without requests.
	maxSharedTime = 500 * time.Millisecond
	// watchInterval is the time between two looks for shared keys.
	watchInterval = 100 * time.Millisecond
)

// Owners watches the keyed servers of a service for keys with two owners.
type Owners struct {
	mu        sync.Mutex
	running   map[*incarnation]bool
	conflicts []Conflict
	// reported holds the shared keys already found.
	reported map[sharedKey]bool
	fences   []fences // by key
}

// NewOwners returns an Owners without servers.
func NewOwners() *Owners {
	return &Owners{running: map[*incarnation]bool{}, reported: map[sharedKey]bool{}, fences: make([]fences, keyCount)}
}

func (o *Owners) add(i *incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[i] = true
}

func (o *Owners) remove(i *incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, i)
}

// start starts a request of the key at i. It returns false if i does not own the key.
func (o *Owners) start(i *incarnation, key int, requestID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	own, ok := i.startKey(key, now)
	if !ok {
		return false
	}
	for other := range o.running {
		theirs := other.keyGrant(key)
		if other == i || !theirs.validAt(now) || theirs.lastStart.Before(own.since) || theirs.lastStart.Before(theirs.since) {
			continue
		}
		o.conflicts = append(o.conflicts, Conflict{Key: key, First: other.id, Second: i.id, RequestID: requestID, At: now,
			GrantsArrivedAt: [2]time.Time{theirs.arrivedAt, own.arrivedAt}})
	}
	return true
}

// take records that i, which did not hold the keys, took them by one grant. A conflict is
// recorded for the first key that another server had under a fence that is not lower.
func (o *Owners) take(i *incarnation, keys []int, fence int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := false
	for _, key := range keys {
		others := o.fences[key].take(taking{i.id, fence, now})
		if others.fence < fence || found {
			continue
		}
		found = true
		o.conflicts = append(o.conflicts, Conflict{Key: key, First: others.server, Second: i.id, OldFence: fence, At: now,
			GrantsArrivedAt: [2]time.Time{others.arrivedAt, now}})
	}
}

// Watch looks for the keys that two servers share for too long, until ctx is done.
func (o *Owners) Watch(ctx context.Context, keys []int) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.findShared(keys, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owners) findShared(keys []int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		for first := range o.running {
			for second := range o.running {
				a, b := first.keyGrant(key), second.keyGrant(key)
				shared := sharedKey{key, first.id, second.id}
				if first.id >= second.id || !a.validAt(now) || !b.validAt(now) || o.reported[shared] ||
					now.Sub(a.since) <= maxSharedTime || now.Sub(b.since) <= maxSharedTime {
					continue
				}
				o.reported[shared] = true
				o.conflicts = append(o.conflicts, Conflict{Key: key, First: first.id, Second: second.id, At: now,
					GrantsArrivedAt: [2]time.Time{a.arrivedAt, b.arrivedAt}})
			}
		}
	}
}

// Conflicts returns the conflicts found so far.
func (o *Owners) Conflicts() []Conflict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Conflict{}, o.conflicts...)
}
