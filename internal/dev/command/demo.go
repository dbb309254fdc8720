package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/dev/demo"
)

type demoCommand struct {
	options demo.Options
}

func (c *demoCommand) attach() *flaggy.Subcommand {
	c.options = demo.DefaultOptions()
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "starts the whole system on loopback, breaks parts of it under load and judges the outcome"
	sub.String(&c.options.Bin, "", "bin", "directory of the programs")
	sub.String(&c.options.Settings, "", "settings", "settings tree (INI) to start from")
	sub.String(&c.options.Dir, "", "dir", "directory for configuration, logs and records; default: a new one that is removed when all went well")
	sub.Int(&c.options.Rate, "", "rate", "requests per second")
	sub.Int(&c.options.Count, "", "count", "number of requests")
	sub.UInt64(&c.options.Seed, "", "seed", "seed of the load")
	return sub
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	return demo.Run(ctx, c.options, out)
}
