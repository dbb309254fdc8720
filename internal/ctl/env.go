package ctl

import (
	"io"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Env is the surroundings of the tool.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect returns the client of the platform's store at a base URL.
	Connect func(url string) (store.Store, error)
	// Client asks instances for their status.
	Client *http.Client
	Now    func() time.Time
	// Getenv reads an environment variable.
	Getenv func(name string) string
}

// The environment variables that stand for options.
const (
	envStore     = "PERIDOTMOOR_STORE"
	envInstances = "PERIDOTMOOR_INSTANCES"
	envUser      = "USER"
)
