package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/dev/bench"
)

// benchCommand runs the benchmark of the whole system once.
type benchCommand struct {
	options bench.Options
}

func (c *benchCommand) attach() *flaggy.Subcommand {
	c.options = bench.DefaultOptions()
	o := &c.options
	sub := flaggy.NewSubcommand("bench")
	sub.Description = "starts the system on loopback, sends open-loop load and prints one line of figures"
	sub.String(&o.ProgramDir, "", "bin", "directory of the programs")
	sub.Int(&o.Routers, "", "routers", "number of routers")
	sub.Int(&o.Domains, "", "domains", "number of failure domains")
	sub.Int(&o.Services, "", "services", "number of services")
	sub.Int(&o.ShardsPerService, "", "shards", "shards per service")
	sub.Int(&o.Servers, "", "servers", "backend servers in total")
	sub.Int(&o.Ranges, "", "ranges", "key ranges of settings per service and failure domain")
	sub.Bool(&o.Keyed, "", "keyed", "partition the services by key")
	sub.Int(&o.SlotsPerServer, "", "slots", "requests that a server runs at a time")
	sub.Int(&o.Rate, "", "rate", "requests per second; 0 measures the idle system")
	sub.Int(&o.WritePercent, "", "orders", "how many of 100 requests are not idempotent")
	sub.Int(&o.KeysPerService, "", "keys", "keys per service")
	sub.Int(&o.BodyBytes, "", "body", "bytes of the body of an order")
	sub.Int(&o.ServiceTimeMS, "", "work-ms", "median service time in ms")
	sub.Duration(&o.Warmup, "", "warmup", "load before the measured stretch")
	sub.Duration(&o.Duration, "", "duration", "measured stretch")
	sub.Int(&o.MaxProcs, "", "procs", "GOMAXPROCS of each router; 0 leaves it")
	sub.Bool(&o.Direct, "", "direct", "send the load to the servers without routers")
	sub.UInt64(&o.Seed, "", "seed", "seed of the load")
	return sub
}

func (c *benchCommand) run(ctx context.Context, out io.Writer) error {
	return bench.Run(ctx, c.options, out)
}
