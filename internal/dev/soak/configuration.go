package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

const (
	// configKey is the key of the operators' configuration.
	configKey = "op/config"
	// keyedService is the service whose servers own keys.
	keyedService = "graves"
	// movedRoute is the route whose service changes with each version.
	movedRoute = "moved"
	// addedRoutes is how many routes are added, one in each version after the first.
	addedRoutes = 3
	// routeTimeout and latencyTarget are those of all routes.
	routeTimeout  = 6 * time.Second
	latencyTarget = 2 * time.Second
)

// services are the services; the moved route goes to the unkeyed ones in turn.
var services = []string{keyedService, "orders", "photos", "surveys"}

// configuration writes the versions of the operators' configuration into the store.
type configuration struct {
	store *memstore.Store

	mu       sync.Mutex
	versions []check.Version
	// newest is the text of the newest version.
	newest []byte
}

// next writes the next version.
func (c *configuration) next() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := len(c.versions) + 1
	moved := services[1+number%(len(services)-1)]
	var paths, list []any
	for _, r := range routes() {
		if addedIn[r.Name] <= number {
			paths = append(paths, routeEntry(r, moved))
		}
	}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "sharded": name == keyedService, "health_path": backend.HealthPath, "max_connections": 200})
	}
	text, err := json.Marshal(map[string]any{
		"version": 10 * number, "services": list, "hosts": []any{map[string]any{"host": caller.Host, "paths": paths}},
		"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 8 << 20, "header_timeout_s": 5, "idle_timeout_s": 15},
	})
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	c.versions = append(c.versions, check.Version{Number: number, AcceptedAt: time.Now(), MovedService: moved})
	c.newest = text
	c.store.Put(configKey, text)
	return nil
}

// restore writes the newest version again.
func (c *configuration) restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Put(configKey, c.newest)
}

func (c *configuration) accepted() []check.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]check.Version{}, c.versions...)
}

// addedIn holds the version in which a route is added.
var addedIn = func() map[string]int {
	versions := map[string]int{}
	for n := range addedRoutes {
		versions[fmt.Sprintf("added-%d", n+1)] = n + 2
	}
	return versions
}()

// routes returns all routes that a version may have.
func routes() []*caller.Route {
	all := []*caller.Route{
		{Name: "grave-reads", Idempotent: true, Keyed: true},
		{Name: "grave-orders", Keyed: true},
		{Name: "reads", Idempotent: true},
		{Name: "orders"},
		{Name: "uploads", Upload: true},
		{Name: movedRoute, Idempotent: true},
	}
	for n := range addedRoutes {
		all = append(all, &caller.Route{Name: fmt.Sprintf("added-%d", n+1), Idempotent: true})
	}
	for _, r := range all {
		r.Prefix, r.Timeout = "/"+r.Name+"/", routeTimeout
	}
	return all
}

func routeEntry(r *caller.Route, moved string) map[string]any {
	kind, service := "unsafe", "orders"
	switch {
	case r.Upload:
		kind, service = "upload", "photos"
	case r.Idempotent:
		kind, service = "safe", "surveys"
	}
	switch {
	case r.Keyed:
		service = keyedService
	case r.Name == movedRoute:
		service = moved
	}
	return map[string]any{
		"name": r.Name, "path_prefix": r.Prefix, "kind": kind, "service": service, "max_attempts": 2, "priority": 0,
		"timeout_s": r.Timeout.Seconds(), "target_latency_s": latencyTarget.Seconds(),
	}
}
