package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// serversCommand runs the stand-ins for the backend servers of a settings tree.
type serversCommand struct {
	listen   string
	settings string
	medianMS int
	seed     uint64
}

func (c *serversCommand) attach() *flaggy.Subcommand {
	c.listen = "127.0.0.1:0"
	c.medianMS = 4
	c.seed = 1
	sub := flaggy.NewSubcommand("servers")
	sub.Description = "stand-ins for the backend servers that a settings tree names, each on a free port"
	sub.String(&c.listen, "", "listen", "host:port of the control endpoints; port 0 picks a free one")
	sub.String(&c.settings, "", "settings", "settings tree (INI) with a [server.NAME] section for each server")
	sub.Int(&c.medianMS, "", "median-ms", "median service time in ms")
	sub.UInt64(&c.seed, "", "seed", "seed of the service times")
	return sub
}

func (c *serversCommand) run(ctx context.Context, out io.Writer) error {
	tree, err := os.ReadFile(c.settings)
	if err != nil {
		return errors.Wrap(err, "name a readable settings tree with --settings")
	}
	configs, err := servers.ConfigsFromTree(tree, c.profile())
	if err != nil {
		return errors.Wrap(err, c.settings)
	}
	reservation, err := ports.Reserve(len(configs))
	if err != nil {
		return err
	}
	defer reservation.Release()
	for i := range configs {
		configs[i].Address = reservation.Addresses[i]
	}
	fleet, err := servers.NewFleet(configs)
	if err != nil {
		return err
	}
	defer fleet.Close()
	return serve(ctx, out, c.listen, fleet)
}

// profile describes servers with stragglers and cold starts. Their load reports lag
// by a second, so that they do not show momentary slowness in time.
func (c *serversCommand) profile() servers.Config {
	return servers.Config{
		ServiceTimes: servers.ServiceTimes{
			Median:     time.Duration(c.medianMS) * time.Millisecond,
			Sigma:      0.4,
			SlowShare:  0.02,
			SlowFactor: 8,
		},
		ColdStart:    servers.ColdStartConfig{WarmUpRequests: 40, SlowdownFactor: 4, MaxOverloads: 3, CrashOnOverload: true},
		ReportDelay:  time.Second,
		ClockDrift:   0.002,
		RestartAfter: time.Second,
		StartWarm:    true,
		Seed:         c.seed,
	}
}
