// Package settings parses and validates the settings tree that operators write. It
// resolves inherited values, compares trees and checks whether one tree may replace
// another. It performs no I/O.
package settings

import (
	"slices"
	"strconv"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Tree is a validated settings tree. It is immutable, so that readers can share it
// through an atomic pointer.
type Tree struct {
	doc           *document
	text          string
	services      map[string]*Service
	serviceNames  []string // sorted
	domains       map[string]Domain
	servers       map[string]Server
	control       Control
	defaultPolicy RequestPolicy
	retired       map[string]bool
	teams         map[string]Team
	teamByKey     map[fleet.KeyDigest]Team
}

// Text returns the text that the tree was parsed from.
func (t *Tree) Text() string { return t.text }

// FileName returns the name that Parse was given.
func (t *Tree) FileName() string { return t.doc.file }

// Service returns a service by name.
func (t *Tree) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the sorted names of all services. The caller must not modify the
// slice.
func (t *Tree) Services() []string { return t.serviceNames }

// Domain returns a failure domain by name.
func (t *Tree) Domain(name string) (Domain, bool) {
	d, ok := t.domains[name]
	return d, ok
}

// Domains returns all failure domains, sorted by name.
func (t *Tree) Domains() []Domain {
	return sortedValues(t.domains)
}

// Server returns a backend server by name.
func (t *Tree) Server(name string) (Server, bool) {
	s, ok := t.servers[name]
	return s, ok
}

// Servers returns all backend servers, sorted by name.
func (t *Tree) Servers() []Server {
	return sortedValues(t.servers)
}

// ServersOf returns the servers of one shard, sorted by name, including those out of
// service. The caller must not modify the slice.
func (t *Tree) ServersOf(service string, shard int) []Server {
	s := t.services[service]
	if s == nil {
		return nil
	}
	return s.Servers(shard)
}

// ServerPolicy returns the server-scoped settings. An unknown server is out of service.
func (t *Tree) ServerPolicy(server string) ServerPolicy {
	return t.servers[server].Policy
}

// RequestPolicy returns the request-scoped settings of a key at an entry instance in
// domain. An unknown service gets the values of [DEFAULT].
func (t *Tree) RequestPolicy(service, domain, key string) RequestPolicy {
	s := t.services[service]
	if s == nil {
		return t.defaultPolicy
	}
	return s.RequestPolicy(domain, key)
}

// Control returns the settings that have one value for the whole system.
func (t *Tree) Control() Control { return t.control }

// Retired reports whether operators have declared this incarnation of an instance
// terminated.
func (t *Tree) Retired(name, incarnation string) bool {
	return t.retired[name+"@"+incarnation]
}

// HomeRegion returns the region that contains most servers of the shard, including those
// out of service. Of equals it returns the first by name. It is empty if the shard has no
// server.
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
