package fleet

import (
	"sort"
	"strings"
)

// Config is one version of the routes, services and limits. Use NewConfig to create it.
type Config struct {
	// Version increases with each change, not necessarily by one.
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Teams is nil if the configuration has no teams; then callers need no key.
	Teams *Teams
	// routes holds the routes of each host, those with the longest prefix first.
	routes map[string][]*Route
}

// NewConfig returns a configuration whose routes are indexed by host.
func NewConfig(version int64, services []*Service, routes []*Route, limits Limits) *Config {
	c := &Config{Version: version, Services: map[string]*Service{}, Limits: limits, routes: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route of host with the longest prefix of path, or nil. path is what
// RoutingPath returns. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes of all hosts.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// KeyedServices returns the sorted names of the services whose requests are
// partitioned by key.
func (c *Config) KeyedServices() []string {
	var names []string
	for name, s := range c.Services {
		if s.Keyed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
