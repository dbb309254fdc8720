package main

import (
	"sync"
	"time"
)

// ownership judges the rule OWNER by what the upstreams see.
type ownership struct {
	w  *world
	mu sync.Mutex
	// held is what each upstream holds, released what it has released, with the time at
	// which its hold would have run out.
	held, released map[*upstream][]grant
	running        map[*upstream]map[*work]bool
}

func newOwnership(w *world) *ownership {
	return &ownership{w: w, held: map[*upstream][]grant{}, released: map[*upstream][]grant{}, running: map[*upstream]map[*work]bool{}}
}

// granted checks that no other upstream is at work on one of the keys before its hold would
// have run out, or has held one for over half a second beside this one.
func (o *ownership) granted(u *upstream, g grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for v, running := range o.running {
		if v == u {
			continue
		}
		for k := range running {
			var until time.Time // when the hold of v would have run out
			for _, h := range append(append([]grant{}, o.held[v]...), o.released[v]...) {
				if h.covers(k.key) && h.until.After(until) {
					until = h.until
				}
			}
			if g.covers(k.key) && now.Before(until) {
				o.w.breaks("OWNER: upstream %s is given keys %d to %d while upstream %s is at work on key %d (request %s, begun %d ms before), whose hold would have run out %d ms later",
					u.id, g.from, g.to, v.id, k.key, k.id, now.Sub(k.began).Milliseconds(), until.Sub(now).Milliseconds())
			}
		}
	}
	o.held[u] = append(o.held[u], g)
}

// release moves what is released out of what u holds.
func (o *ownership) release(u *upstream, order grantWire) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var kept []grant
	for _, g := range o.held[u] {
		if g.to < order.From || g.from > order.To {
			kept = append(kept, g)
			continue
		}
		o.released[u] = append(o.released[u], grant{from: max(g.from, order.From), to: min(g.to, order.To), until: g.until})
		if g.from < order.From {
			kept = append(kept, grant{from: g.from, to: order.From - 1, until: g.until})
		}
		if g.to > order.To {
			kept = append(kept, grant{from: order.To + 1, to: g.to, until: g.until})
		}
	}
	o.held[u] = kept
}

// began checks that no other upstream is at work on the key.
func (o *ownership) began(u *upstream, k *work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for v, running := range o.running {
		for other := range running {
			if v != u && other.key == k.key && k.key != noKey {
				o.w.rec.log("both upstreams %s and %s are at work on key %d (requests %s and %s)", u.id, v.id, k.key, k.id, other.id)
			}
		}
	}
	if o.running[u] == nil {
		o.running[u] = map[*work]bool{}
	}
	o.running[u][k] = true
}

func (o *ownership) ended(u *upstream, k *work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running[u], k)
}
