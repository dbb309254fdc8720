package ctl

import (
	"context"
	"io"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Env contains the dependencies of the tool on its environment.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect returns a client of the platform's store at a base URL.
	Connect func(url string) (store.Store, error)
	// ReadPlatform reads what instances read from the store of the users' platform at an
	// address (host:port).
	ReadPlatform func(ctx context.Context, address string) (PlatformState, error)
	// Client requests the status of instances.
	Client *http.Client
	Now    func() time.Time
	// Getenv reads an environment variable.
	Getenv func(name string) string
}

// Environment variables with the default values of options.
const (
	envStore     = "PERIDOTMOOR_STORE"
	envInstances = "PERIDOTMOOR_INSTANCES"
	envUser      = "USER"
)
