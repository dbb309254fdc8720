// Package bench measures the running system: it starts routers and stand-ins
// on loopback, sends open-loop load and reports rates, latencies and what each
// router used.
package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// run is one measurement.
type run struct {
	options   Options
	dir       string
	children  *programs.Children
	fleet     *programs.Child
	store     *programs.Child
	platform  string // URL
	listed    []servers.ServerInfo
	instances []*programs.Instance
	// accepted is the number of the settings version that was applied last.
	accepted int
}

// Run measures once and prints one line of figures to out. No program that it
// started is left behind.
func Run(ctx context.Context, options Options, out io.Writer) error {
	if err := options.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, totalTimeout-programs.StopTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "peridotmoor-bench-")
	if err != nil {
		return errors.Wrap(err, "directory of the run")
	}
	defer os.RemoveAll(dir)
	r := &run{options: options, dir: dir, children: programs.NewChildren(options.Bin, dir)}
	defer r.children.Close()
	defer programs.Client.CloseIdleConnections()
	measured, err := r.measure(ctx)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, measured.line())
	return errors.Wrap(err, "print the figures")
}

func (r *run) measure(ctx context.Context) (result, error) {
	measured := result{options: r.options}
	if err := r.start(ctx); err != nil {
		return measured, err
	}
	measured.listed = r.listed
	l := &load{
		options: r.options,
		targets: r.targets(),
		sender:  newSender(r.options.BodyBytes),
		random:  rand.New(rand.NewPCG(r.options.Seed, 1)),
	}
	defer l.sender.transport.CloseIdleConnections()
	l.warmUp(ctx)
	var err error
	if measured.before, err = r.snapshot(ctx); err != nil {
		return measured, err
	}
	measured.load = l.run(ctx, r.options.Rate, r.options.Duration)
	if measured.after, err = r.snapshot(ctx); err != nil {
		return measured, err
	}
	if measured.change, err = r.change(ctx); err != nil {
		return measured, err
	}
	if measured.records, err = r.stopRouters(); err != nil {
		return measured, err
	}
	return measured, errors.Wrap(ctx.Err(), "the run was cut off")
}

// stopRouters stops all routers at once and reads what they have recorded.
func (r *run) stopRouters() ([]recordCount, error) {
	var stops sync.WaitGroup
	for _, i := range r.instances {
		stops.Go(func() { i.Child.Stop() })
	}
	stops.Wait()
	var all []recordCount
	for _, i := range r.instances {
		counted, err := countRecords(i.Records(r.dir))
		if err != nil {
			return nil, err
		}
		all = append(all, counted)
	}
	return all, nil
}

// targets are the routers, or the servers when the load goes to them directly.
func (r *run) targets() []target {
	var all []target
	for _, i := range r.instances {
		all = append(all, target{address: i.Callers})
	}
	if r.options.Direct {
		for _, s := range r.listed {
			all = append(all, target{address: s.Address, service: s.Service, shard: s.Service + "/0"})
		}
	}
	return all
}
