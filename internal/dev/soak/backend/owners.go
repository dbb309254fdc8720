package backend

import (
	"sync"
	"time"
)

// Owners watches the keyed servers of a service for keys with two owners.
type Owners struct {
	mu        sync.Mutex
	running   map[*incarnation]bool
	conflicts []Conflict
}

// NewOwners returns an Owners without servers.
func NewOwners() *Owners {
	return &Owners{running: map[*incarnation]bool{}}
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

// Conflicts returns the conflicts found so far.
func (o *Owners) Conflicts() []Conflict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Conflict{}, o.conflicts...)
}
