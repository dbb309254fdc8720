package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// serveOrder serves a grant or a release.
func (i *incarnation) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.To >= keyCount || i.grants == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/grant" {
		w.WriteHeader(i.grant(o))
		return
	}
	if i.release(r, o) {
		w.Header().Set("X-Handover", i.id)
	}
}

// grant applies a grant from its arrival on and returns the status of the response.
func (i *incarnation) grant(o order) int {
	now := time.Now()
	taken, status := i.applyGrant(o, now)
	i.owners.take(i, taken, o.Fence, now)
	return status
}

// applyGrant returns the keys that the incarnation did not hold and holds now, and the
// status of the response.
func (i *incarnation) applyGrant(o order, now time.Time) (taken []int, status int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for key := o.From; key <= o.To; key++ {
		if i.grants[key].fence > o.Fence {
			return nil, http.StatusConflict
		}
	}
	until := now.Add(time.Duration(o.GrantDuration / i.config.ClockRate * float64(time.Second)))
	for key := o.From; key <= o.To; key++ {
		g := &i.grants[key]
		if !g.validAt(now) {
			g.since = now
			taken = append(taken, key)
		}
		g.fence, g.until, g.arrivedAt, g.released = o.Fence, until, now, false
	}
	return taken, http.StatusOK
}

// release ends grants and waits until the requests of their keys have ended. It returns
// false if the sender leaves first.
func (i *incarnation) release(r *http.Request, o order) bool {
	i.mu.Lock()
	now := time.Now()
	for key := o.From; key <= o.To; key++ {
		if i.grants[key].validAt(now) {
			i.grants[key].until, i.grants[key].released = now, true
		}
	}
	i.mu.Unlock()
	for {
		running, changed := i.runningKeys(o)
		if running == 0 {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (i *incarnation) runningKeys(o order) (int, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	running := 0
	for key := o.From; key <= o.To; key++ {
		running += i.grants[key].running
	}
	return running, i.released
}
