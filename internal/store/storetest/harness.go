// Package storetest is the contract of store.Store, run against each implementation.
package storetest

import (
	"testing"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Harness is a store under test and the memory store behind it, whose faults
// the contract switches.
type Harness struct {
	Store   store.Store
	Backing *memstore.Store
}

// Run runs the whole contract. open returns a fresh, empty store for each case.
func Run(t *testing.T, open func(t *testing.T) Harness) {
	for _, c := range append(behaviour(), faults()...) {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
}
