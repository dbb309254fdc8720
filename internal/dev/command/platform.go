package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/dev/platform"
)

// platformCommand runs the stand-in for the platform: its key-value store and instance list.
type platformCommand struct {
	listen string
	lagMS  int
	slowMS int
}

func (c *platformCommand) attach() *flaggy.Subcommand {
	c.listen = "127.0.0.1:0"
	c.slowMS = 1
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "stand-in for the platform's key-value store and list of instances"
	sub.String(&c.listen, "", "listen", "host:port; port 0 picks a free one")
	sub.Int(&c.lagMS, "", "list-lag-ms", "how long a change of the list takes to show, in ms")
	sub.Int(&c.slowMS, "", "store-delay-ms", "delay of each store call, in ms")
	return sub
}

func (c *platformCommand) run(ctx context.Context, out io.Writer) error {
	server := platform.New()
	server.Apply(platform.FaultSettings{DelayMS: &c.slowMS, ListLagMS: &c.lagMS})
	return serve(ctx, out, c.listen, server)
}
