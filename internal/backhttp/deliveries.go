package backhttp

import (
	"sync"
	"sync/atomic"
)

// Deliveries are the requests of which a part is still delivered although their servers have
// answered them with success. Pools may share them. They are safe for concurrent use.
type Deliveries struct {
	// OnCut, if set, is called when the rest of a request is given up after the whole success
	// was passed on. It must not block.
	OnCut func(Cut)
	// pending is the set of the *pendingDelivery.
	pending sync.Map
	count   atomic.Int64
	cuts    atomic.Uint64
}

// Count returns how many requests are still delivered.
func (d *Deliveries) Count() int {
	return int(d.count.Load())
}

// Cuts returns how many requests were given up after a success.
func (d *Deliveries) Cuts() uint64 {
	return d.cuts.Load()
}

// GiveUp ends all deliveries, because the process ends, and waits until they are reported.
func (d *Deliveries) GiveUp() {
	d.pending.Range(func(key, _ any) bool {
		p := key.(*pendingDelivery)
		p.conn.abortBecause(errGivenUp)
		if p.exchange.answered.Load() { // others are not reported, and may wait for their callers
			<-p.ended
		}
		return true
	})
}

func (d *Deliveries) add(p *pendingDelivery) {
	d.pending.Store(p, nil)
	d.count.Add(1)
}

func (d *Deliveries) remove(p *pendingDelivery) {
	d.pending.Delete(p)
	d.count.Add(-1)
}

func (d *Deliveries) report(c Cut) {
	d.cuts.Add(1)
	if d.OnCut != nil {
		d.OnCut(c)
	}
}
