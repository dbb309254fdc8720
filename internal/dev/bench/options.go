package bench

import (
	"time"

	"github.com/pkg/errors"
)

// runTimeout limits one run, including the start and stop of the programs.
const runTimeout = 60 * time.Second

// Options configures a run.
type Options struct {
	// ProgramDir is the directory of the executables.
	ProgramDir string
	// Routers is the number of routers, distributed over Domains failure domains.
	Routers int
	Domains int
	// Services, ShardsPerService, Servers (in total) and Ranges (key ranges with
	// settings of their own, per service and failure domain) determine the size of the
	// settings tree.
	Services         int
	ShardsPerService int
	Servers          int
	Ranges           int
	// Keyed partitions the services by key.
	Keyed bool
	// SlotsPerServer is how many requests a server runs concurrently.
	SlotsPerServer int
	// Rate is the number of requests per second; 0 measures the idle system.
	Rate int
	// WritePercent is the percentage of requests that are not idempotent. Flags and
	// figures call them orders.
	WritePercent int
	// KeysPerService is the number of keys of each service, and BodyBytes the size of
	// the body of a write.
	KeysPerService int
	BodyBytes      int
	// ServiceTimeMS is the median service time of the servers in ms.
	ServiceTimeMS int
	// Warmup is the period under load before the measured period, which lasts Duration.
	Warmup   time.Duration
	Duration time.Duration
	// MaxProcs is GOMAXPROCS of each router; 0 for the default of the Go runtime.
	MaxProcs int
	// Direct sends the load directly to the servers. No routers are started.
	Direct bool
	Seed   uint64
}

// DefaultOptions returns the options of a small run of about 15 s.
func DefaultOptions() Options {
	return Options{
		ProgramDir: "bin", Routers: 3, Domains: 3, Services: 2, ShardsPerService: 4, Servers: 24, SlotsPerServer: 3,
		Rate: 500, KeysPerService: 1000, BodyBytes: 400, Warmup: 4 * time.Second, Duration: 5 * time.Second, Seed: 1,
	}
}

func (o Options) check() error {
	switch {
	case o.Routers < 1 || o.Domains < 1 || o.Services < 1 || o.ShardsPerService < 1 || o.KeysPerService < 1 || o.SlotsPerServer < 1:
		return errors.New("routers, domains, services, shards, keys and slots must be at least 1")
	case o.Rate < 0 || o.Ranges < 0 || o.BodyBytes < 0 || o.ServiceTimeMS < 0 || o.MaxProcs < 0:
		return errors.New("rate, ranges, body, work and procs must not be below 0")
	case o.WritePercent < 0 || o.WritePercent > 100:
		return errors.New("orders is a percentage from 0 to 100")
	case o.Servers < o.Services*o.ShardsPerService:
		return errors.Errorf("%d servers are fewer than one for each of %d shards; raise --servers", o.Servers, o.Services*o.ShardsPerService)
	case o.Direct && o.Keyed:
		return errors.New("servers of keyed services refuse requests without a grant; leave out --keyed with --direct")
	case o.Duration < time.Second || o.Warmup < 0 || o.Warmup+o.Duration > runTimeout/2:
		return errors.Errorf("duration must be at least 1s, and warm-up and duration together at most %s", runTimeout/2)
	}
	return nil
}
