package bench

import (
	"time"

	"github.com/pkg/errors"
)

// totalTimeout bounds one run with its start and stop.
const totalTimeout = 60 * time.Second

// Options say what one run starts and sends.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Routers is how many routers run, spread over Domains failure domains.
	Routers int
	Domains int
	// Services, Shards (per service), Servers (in total) and Ranges (key
	// ranges of settings per service and failure domain) size the settings tree.
	Services int
	Shards   int
	Servers  int
	Ranges   int
	// Keyed makes the services partitioned by key.
	Keyed bool
	// Slots is how many requests a server runs at a time.
	Slots int
	// Rate is in requests per second; 0 measures the idle system.
	Rate int
	// Orders is how many of 100 requests are not idempotent.
	Orders int
	// Keys is how many keys each service has; BodyBytes is the body of an order.
	Keys      int
	BodyBytes int
	// WorkMS is the median service time of the servers in ms.
	WorkMS int
	// Warmup is spent under load before Duration is measured.
	Warmup   time.Duration
	Duration time.Duration
	// Procs limits GOMAXPROCS of each router; 0 leaves it.
	Procs int
	// Direct sends the load to the servers without routers.
	Direct bool
	Seed   uint64
}

// DefaultOptions returns the options of a small run of about 15 s.
func DefaultOptions() Options {
	return Options{
		Bin: "bin", Routers: 3, Domains: 3, Services: 2, Shards: 4, Servers: 24, Slots: 3,
		Rate: 500, Keys: 1000, BodyBytes: 400, Warmup: 4 * time.Second, Duration: 5 * time.Second, Seed: 1,
	}
}

func (o Options) check() error {
	switch {
	case o.Routers < 1 || o.Domains < 1 || o.Services < 1 || o.Shards < 1 || o.Keys < 1 || o.Slots < 1:
		return errors.New("routers, domains, services, shards, keys and slots must be at least 1")
	case o.Rate < 0 || o.Ranges < 0 || o.BodyBytes < 0 || o.WorkMS < 0 || o.Procs < 0:
		return errors.New("rate, ranges, body, work and procs must not be below 0")
	case o.Orders < 0 || o.Orders > 100:
		return errors.New("orders is a percentage from 0 to 100")
	case o.Servers < o.Services*o.Shards:
		return errors.Errorf("%d servers are fewer than one for each of %d shards; raise --servers", o.Servers, o.Services*o.Shards)
	case o.Direct && o.Keyed:
		return errors.New("servers of keyed services refuse requests without a grant; leave out --keyed with --direct")
	case o.Duration < time.Second || o.Warmup < 0 || o.Warmup+o.Duration > totalTimeout/2:
		return errors.Errorf("duration must be at least 1s, and warm-up and duration together at most %s", totalTimeout/2)
	}
	return nil
}
