package callers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer spreads requests over the entry instances that are ready, as the
// platform's load balancer does.
type Balancer struct {
	entries []*EntryInstance
	next    atomic.Uint64
	client  *http.Client
	stop    context.CancelFunc
	probes  sync.WaitGroup
}

// NewBalancer starts to probe the entries until Close.
func NewBalancer(entries []*EntryInstance) *Balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{entries: entries, client: &http.Client{Transport: &http.Transport{}}, stop: cancel}
	for _, entry := range entries {
		b.probes.Go(func() { b.probeUntil(ctx, entry) })
	}
	return b
}

// Close stops the probes.
func (b *Balancer) Close() {
	b.stop()
	b.probes.Wait()
	b.client.CloseIdleConnections()
}

func (b *Balancer) probeUntil(ctx context.Context, entry *EntryInstance) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		entry.probe(ctx, b.client)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pick returns the next ready entry other than avoid, or any other one when
// none is ready. With a single entry it returns that one.
func (b *Balancer) Pick(avoid *EntryInstance) *EntryInstance {
	start := b.next.Add(1)
	var fallback *EntryInstance
	for i := range b.entries {
		entry := b.entries[(start+uint64(i))%uint64(len(b.entries))]
		if entry == avoid {
			continue
		}
		if entry.Ready() {
			return entry
		}
		fallback = entry
	}
	if fallback == nil {
		return avoid
	}
	return fallback
}
