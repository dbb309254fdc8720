// Package storetest tests the contract of store.Store for each implementation.
package storetest

import (
	"testing"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Harness is a store under test and the memstore behind it, into which the tests inject
// faults.
type Harness struct {
	Store   store.Store
	Backing *memstore.Store
}

// Run tests the complete contract. open returns a new, empty store for each case.
func Run(t *testing.T, open func(t *testing.T) Harness) {
	for _, c := range append(behaviour(), faults()...) {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
}
