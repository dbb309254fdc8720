package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

const (
	// sweepPause is the time between two requests for what was not served.
	sweepPause = 100 * time.Millisecond
	// sweepTimeout is how long a request of a sweep waits for its answer.
	sweepTimeout = 2 * time.Second
)

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
			if a := p.sweep(ctx, c, i); a != nil {
				mu.Lock()
				defer mu.Unlock()
				unserved = append(unserved, fmt.Sprintf("%s does not serve all routes and keys within %v; the last request: %s", i.name, limit, a.String(p.startAt)))
			}
		})
	}
	sweeps.Wait()
	return unserved
}

// sweep sends requests for each route and each key until they are answered. It returns
// nil, or the last attempt when ctx is done first.
func (p *play) sweep(ctx context.Context, c *caller.Caller, i *instance) *caller.Attempt {
	for _, route := range p.routesInEffect() {
		for _, key := range keysOf(route) {
			for {
				a := c.Send(ctx, i.caller, route, key, sweepTimeout)
				if a.Answered() {
					break
				}
				select {
				case <-time.After(sweepPause):
				case <-ctx.Done():
					return a
				}
			}
		}
	}
	return nil
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
