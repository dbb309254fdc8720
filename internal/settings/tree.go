// Package settings holds the operators' settings tree: parsing, checks of the
// whole tree, inheritance, comparison and the check of a change. It is pure.
package settings

import (
	"slices"
	"strconv"
)

// Tree is one checked settings tree. It is immutable; readers share it through
// an atomic pointer.
type Tree struct {
	doc           *document
	text          string
	services      map[string]*Service
	serviceNames  []string // of the services, sorted
	domains       map[string]Domain
	servers       map[string]Server
	control       Control
	defaultPolicy RequestPolicy
	retired       map[string]bool
}

// Text returns the text that the tree was parsed from.
func (t *Tree) Text() string { return t.text }

// FileName returns the name that Parse was given.
func (t *Tree) FileName() string { return t.doc.file }

// Service finds a service.
func (t *Tree) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services, sorted. The caller must not change the slice.
func (t *Tree) Services() []string { return t.serviceNames }

// Domain finds a failure domain.
func (t *Tree) Domain(name string) (Domain, bool) {
	d, ok := t.domains[name]
	return d, ok
}

// Domains returns all failure domains, ordered by name.
func (t *Tree) Domains() []Domain {
	return sortedValues(t.domains)
}

// Server finds a backend server.
func (t *Tree) Server(name string) (Server, bool) {
	s, ok := t.servers[name]
	return s, ok
}

// Servers returns all backend servers, ordered by name.
func (t *Tree) Servers() []Server {
	return sortedValues(t.servers)
}

// ServersOf returns the servers of one shard, ordered by name, in or out. The
// caller must not change the slice.
func (t *Tree) ServersOf(service string, shard int) []Server {
	s := t.services[service]
	if s == nil {
		return nil
	}
	return s.Servers(shard)
}

// ServerPolicy returns the server-scoped settings; an unknown server is out.
func (t *Tree) ServerPolicy(server string) ServerPolicy {
	return t.servers[server].Policy
}

// RequestPolicy returns the request-scoped settings of a key at an entry
// instance of the failure domain. An unknown service gets the values of [DEFAULT].
func (t *Tree) RequestPolicy(service, domain, key string) RequestPolicy {
	s := t.services[service]
	if s == nil {
		return t.defaultPolicy
	}
	return s.RequestPolicy(domain, key)
}

// Control returns the settings that have one value for the whole system.
func (t *Tree) Control() Control { return t.control }

// Retired reports whether operators have declared this run of an instance gone.
func (t *Tree) Retired(name, incarnation string) bool {
	return t.retired[name+"@"+incarnation]
}

// HomeRegion returns the region of most servers of the shard, in or out; the
// lowest name decides a tie. It is empty when the shard has no server.
func (t *Tree) HomeRegion(service string, shard int) string {
	counts := map[string]int{}
	for _, s := range t.ServersOf(service, shard) {
		counts[s.Region]++
	}
	home := ""
	for _, region := range sortedKeys(counts) {
		if counts[region] > counts[home] {
			home = region
		}
	}
	return home
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range sortedKeys(m) {
		values = append(values, m[k])
	}
	return values
}

func (t *Tree) serverShardText(server string) string {
	return strconv.Itoa(t.servers[server].Shard)
}
