package fleet

import (
	"sort"
	"strings"
)

// Config is one version of the routes, services and limits. Build it with NewConfig.
type Config struct {
	// Version rises with each change, in uneven steps.
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]*Route
}

// NewConfig indexes the routes by host.
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

// Match returns the route with the longest prefix of path at host, or nil. A
// port in host is ignored.
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

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// KeyedServices returns the names of the services divided by key, in order.
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
