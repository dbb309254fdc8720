package main

import (
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// connect returns the client of the platform's store. The client is written in
// package store/httpstore, which this branch does not have yet.
func connect(url string) (store.Store, error) {
	return nil, errors.Errorf("this build has no client for the store at %s; use a build with internal/store/httpstore", url)
}
