package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// electedCluster is a test cluster whose instances elect the holder by the product's code. The
// lock of the test cluster guards its fields.
type electedCluster struct {
	*testCluster
	t         *testing.T
	processes []*electedProcess
	records   *memstore.Store
	// committedToken is the token under which the assignment was committed last.
	committedToken authority.Token
	cut            domainCut
	cutEndsAt      time.Time
	messageDelay   time.Duration
	outOfService   string
}

func newElectedCluster(t *testing.T, instances int) *electedCluster {
	c := &electedCluster{testCluster: newTestCluster(9), t: t, records: memstore.New(), messageDelay: time.Millisecond}
	for i := range instances {
		c.processes = append(c.processes, c.start(i, 1))
	}
	c.announceProcesses()
	return c
}

// announceProcesses tells all processes that the list of instances has changed.
func (c *electedCluster) announceProcesses() {
	for _, p := range c.processes {
		select {
		case p.peersChanged <- struct{}{}:
		default:
		}
	}
}

func (c *electedCluster) apply(event cutEvent) {
	p := c.processes[event.instance]
	switch event.kind {
	case "cut":
		cut := event.cut
		if h := c.holder(); h != nil && event.ofHolder {
			cut.domain = h.member.Domain
		}
		c.setCut(cut, event.length)
	case "heal":
		c.withLock(func() { c.cut = domainCut{} })
	case "restart":
		p.kill()
		c.withLock(func() { c.processes[event.instance] = c.start(event.instance, p.number+1) })
		c.announceProcesses()
	case "hand-over":
		if h := c.holder(); h != nil {
			c.goroutines.Go(h.release)
		}
	case "leave":
		c.withLock(func() { p.leaving = !p.leaving })
		c.announceProcesses()
	case "crash", "return":
		c.withLock(func() { c.servers[event.server].setDown(event.kind == "crash") })
	case "slow":
		c.withLock(func() { c.messageDelay = event.slowdown })
	case "domain-out":
		if c.outOfService == "" {
			c.outOfService = event.cut.domain
			c.setOutOfService(c.outOfService, true)
		}
	}
}

func (c *electedCluster) setCut(cut domainCut, length time.Duration) {
	endsAt := time.Now().Add(length)
	c.withLock(func() { c.cut, c.cutEndsAt = cut, endsAt })
	c.goroutines.Go(func() {
		select {
		case <-c.stop:
		case <-time.After(length):
		}
		c.withLock(func() {
			if c.cutEndsAt.Equal(endsAt) {
				c.cut = domainCut{}
			}
		})
	})
}

func (c *electedCluster) endFaults() {
	c.withLock(func() {
		c.cut, c.messageDelay = domainCut{}, time.Millisecond
		for _, s := range c.servers {
			s.setDown(false)
		}
		for _, p := range c.processes {
			p.leaving = false
		}
	})
	c.setOutOfService(c.outOfService, false)
	c.outOfService = ""
	c.announceProcesses()
}

// holder returns a process with a valid tenure, or nil.
func (c *electedCluster) holder() *electedProcess {
	for _, p := range c.processes {
		if p.source().Tenure().ValidAt(time.Now(), 0) {
			return p
		}
	}
	return nil
}

// checkServed checks that each sampled key has an owner.
func (c *electedCluster) checkServed(when string) {
	c.withLock(func() {
		for _, h := range c.sampledHashes {
			if c.acceptingServer(h) == "" {
				c.violations = append(c.violations, fmt.Sprintf("no server accepts hash %016x %s", uint64(h), when))
				return
			}
		}
	})
}

func (c *electedCluster) stopAll() {
	for _, p := range c.processes {
		p.kill()
	}
	c.testCluster.stopAll()
}

// deliver waits until a message has arrived. It returns an error if the message is lost.
func (c *electedCluster) deliver(ctx context.Context, from, to string) error {
	c.mu.Lock()
	delay := c.messageDelay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	if cut.passes(from, to) {
		return nil
	}
	if cut.resets {
		return errConnectionRefused
	}
	<-ctx.Done()
	return errLostMessage
}

// reachesStore reports whether the calls and the answers of an instance in the domain arrive.
func (c *electedCluster) reachesStore(domain string) (called, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut.store {
		return true, true
	}
	return c.cut.passes(domain, "store"), c.cut.passes("store", domain)
}

func (c *electedCluster) specs() []authority.ShardSpec {
	return []authority.ShardSpec{{ID: testShard, Domains: []string{"d0", "d1", "d2"}}}
}

// targetFor returns the target of a server for a process in the given domain.
func (c *electedCluster) targetFor(domain string) func(ServerConfig) *route.Target {
	return func(config ServerConfig) *route.Target {
		target := c.newTarget(config)
		target.Server = &cutServer{fakeServer: c.server(config.Name), cluster: c, from: domain, domain: config.Domain}
		return target
	}
}
