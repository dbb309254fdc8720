package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// sweepPause is the time between two requests for what was not served.
const sweepPause = 100 * time.Millisecond

// awaitService waits until each instance serves each route and each key, and returns
// what is not served within the limit.
func (p *play) awaitService(ctx context.Context, limit time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	var mu sync.Mutex
	var unserved []string
	var sweeps sync.WaitGroup
	for n, i := range p.instances {
		sweeps.Go(func() {
			c := p.newCaller(fmt.Sprintf("sweep%d-%d", n, start.Sub(p.startAt).Milliseconds()), n)
			for _, route := range p.routesInEffect() {
				for _, key := range keysOf(route) {
					if a := p.awaitServed(ctx, c, i, route, key); a != nil {
						mu.Lock()
						unserved = append(unserved, fmt.Sprintf("%s does not serve key %d of %s within %v: %s", i.name, key, route.Name, limit, a.String(p.startAt)))
						mu.Unlock()
					}
				}
			}
		})
	}
	sweeps.Wait()
	return unserved
}

// awaitServed sends requests until one is answered. It returns nil, or the last attempt
// when ctx is done first.
func (p *play) awaitServed(ctx context.Context, c *caller.Caller, i *instance, route *caller.Route, key int) *caller.Attempt {
	for {
		a := c.Send(ctx, i.caller, route, key)
		if a.Answered() {
			return nil
		}
		select {
		case <-time.After(sweepPause):
		case <-ctx.Done():
			return a
		}
	}
}

// routesInEffect returns the routes of the newest version.
func (p *play) routesInEffect() []*caller.Route {
	var found []*caller.Route
	for _, r := range routes() {
		if addedIn[r.Name] <= len(p.configuration.accepted()) {
			found = append(found, r)
		}
	}
	return found
}

func keysOf(route *caller.Route) []int {
	if !route.Keyed {
		return []int{0}
	}
	return caller.Keys()
}
