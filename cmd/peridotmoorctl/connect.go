package main

import (
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
)

// storeConnections serves one call at a time and a watch.
const storeConnections = 2

// connect opens the platform's store at url.
func connect(url string) (store.Store, error) {
	return httpstore.New(url, storeConnections)
}
