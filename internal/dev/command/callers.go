package command

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/demo"
)

// callerConnections limits the connections of the callers to one instance.
const callerConnections = 128

// callersCommand sends the demo's mix of requests and prints the records of the callers.
type callersCommand struct {
	entries string
	rate    int
	count   int
	seed    uint64
}

func (c *callersCommand) attach() *flaggy.Subcommand {
	c.rate = 200
	c.count = 1000
	c.seed = 1
	sub := flaggy.NewSubcommand("callers")
	sub.Description = "open-loop load of mixed requests; prints one record per request as JSON lines"
	sub.String(&c.entries, "", "entries", "entry instances as CALLERS/OPERATORS host:port pairs, separated by commas")
	sub.Int(&c.rate, "", "rate", "requests per second")
	sub.Int(&c.count, "", "count", "number of requests")
	sub.UInt64(&c.seed, "", "seed", "seed of the mix")
	return sub
}

func (c *callersCommand) run(ctx context.Context, out io.Writer) error {
	entries, err := parseEntries(c.entries)
	if err != nil {
		return err
	}
	if c.rate <= 0 || c.count <= 0 {
		return errors.New("rate and count must be above 0")
	}
	balancer := callers.NewBalancer(entries)
	defer balancer.Close()
	client := callers.NewClient(callerConnections)
	defer client.Close()
	load := callers.Load{Kinds: demo.DefaultRequestMix(), Rate: c.rate, Count: c.count, Seed: c.seed}
	encoder := json.NewEncoder(out)
	for _, record := range load.Run(ctx, balancer, client) {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "record")
		}
	}
	return nil
}

func parseEntries(text string) ([]*callers.EntryInstance, error) {
	var entries []*callers.EntryInstance
	for part := range strings.SplitSeq(text, ",") {
		caller, operator, found := strings.Cut(part, "/")
		if !found || caller == "" || operator == "" {
			return nil, errors.Errorf("entry %q is not of the form CALLERS/OPERATORS, such as 127.0.0.1:8000/127.0.0.1:8002", part)
		}
		entries = append(entries, &callers.EntryInstance{CallerAddress: caller, OperatorAddress: operator})
	}
	return entries, nil
}
