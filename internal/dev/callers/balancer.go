package callers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer distributes requests round robin over the entry instances that are
// ready. It stands in for the platform's load balancer.
type Balancer struct {
	entries []*EntryInstance
	next    atomic.Uint64
	client  *http.Client
	stop    context.CancelFunc
	probes  sync.WaitGroup
}

// NewBalancer returns a balancer that probes the readiness of the entries until Close.
func NewBalancer(entries []*EntryInstance) *Balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{entries: entries, client: &http.Client{Transport: &http.Transport{}}, stop: cancel}
	for _, entry := range entries {
		b.probes.Go(func() { b.probeUntil(ctx, entry) })
	}
	return b
}

// Close stops the probes and waits for their end.
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

// Pick returns the next ready entry other than avoid. If none is ready it returns
// any other entry, and avoid if there is no other.
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
