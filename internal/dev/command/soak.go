package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/dev/soak"
)

// soakCommand plays seeds of the randomized soak.
type soakCommand struct {
	options soak.Options
}

func (c *soakCommand) attach() *flaggy.Subcommand {
	c.options = soak.DefaultOptions()
	o := &c.options
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "plays randomized, seeded faults against peridotmoor-entry processes and checks what callers and backend servers see"
	sub.String(&o.ProgramDir, "", "bin", "directory of the programs")
	sub.String(&o.Dir, "", "dir", "directory for the logs of failed seeds; default: a new one")
	sub.UInt64(&o.Seed, "", "seed", "first seed")
	sub.Int(&o.Seeds, "", "seeds", "number of seeds")
	sub.Int(&o.Instances, "", "instances", "number of instances; 100 makes a big run")
	sub.String(&o.Theme, "", "theme", "mix of events; default: drawn from the seed")
	sub.Int(&o.Servers, "", "servers", "backend servers of each service")
	sub.Int(&o.Callers, "", "callers", "number of callers; default: five for each instance")
	sub.Duration(&o.Duration, "", "duration", "time in which faults begin")
	return sub
}

func (c *soakCommand) run(ctx context.Context, out io.Writer) error {
	return soak.Run(ctx, c.options, out)
}
