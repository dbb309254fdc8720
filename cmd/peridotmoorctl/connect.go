package main

import (
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
)

// storeConnections is the number of connections to the store: one for calls, which are
// made one at a time, and one for a watch.
const storeConnections = 2

// connect returns a client of the platform's store at url.
func connect(url string) (store.Store, error) {
	return httpstore.New(url, storeConnections)
}
