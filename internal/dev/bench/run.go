// Package bench is an end-to-end benchmark. It starts routers, the development backend
// servers and the development platform on loopback, sends an open-loop load, and reports
// rates, latencies and the resource usage of each router.
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

// run is one benchmark run with the programs that it has started.
type run struct {
	options         Options
	dir             string
	launcher        *programs.Launcher
	serversProcess  *programs.Child
	platformProcess *programs.Child
	platformURL     string
	serverList      []servers.ServerInfo
	instances       []*programs.Instance
	// settingsVersion is the version of the settings that was applied last.
	settingsVersion int
}

// Run performs one run and prints one line of figures to out. It stops all programs that
// it has started.
func Run(ctx context.Context, options Options, out io.Writer) error {
	if err := options.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout-programs.StopTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "peridotmoor-bench-")
	if err != nil {
		return errors.Wrap(err, "directory of the run")
	}
	defer os.RemoveAll(dir)
	r := &run{options: options, dir: dir, launcher: programs.NewLauncher(options.ProgramDir, dir)}
	defer r.launcher.Close()
	defer programs.HTTPClient.CloseIdleConnections()
	measured, err := r.measure(ctx)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, measured.formatFigures())
	return errors.Wrap(err, "print the figures")
}

func (r *run) measure(ctx context.Context) (measurement, error) {
	measured := measurement{options: r.options}
	if err := r.start(ctx); err != nil {
		return measured, err
	}
	measured.serverList = r.serverList
	l := &loadGenerator{
		options: r.options,
		targets: r.targets(),
		sender:  newSender(r.options.BodyBytes),
		random:  rand.New(rand.NewPCG(r.options.Seed, 1)),
	}
	defer l.sender.transport.CloseIdleConnections()
	l.warmUp(ctx)
	var err error
	if measured.before, err = r.takeSnapshot(ctx); err != nil {
		return measured, err
	}
	measured.load = l.run(ctx, r.options.Rate, r.options.Duration)
	if measured.after, err = r.takeSnapshot(ctx); err != nil {
		return measured, err
	}
	if measured.settingsDelay, err = r.measureSettingsDelay(ctx); err != nil {
		return measured, err
	}
	if measured.records, err = r.stopRouters(); err != nil {
		return measured, err
	}
	return measured, errors.Wrap(ctx.Err(), "the run was cut off")
}

// stopRouters stops all routers concurrently and counts the lines of their records.
func (r *run) stopRouters() ([]recordCount, error) {
	var stops sync.WaitGroup
	for _, i := range r.instances {
		stops.Go(func() { i.Child.Stop() })
	}
	stops.Wait()
	var all []recordCount
	for _, i := range r.instances {
		counted, err := countRecords(i.RecordsPath(r.dir))
		if err != nil {
			return nil, err
		}
		all = append(all, counted)
	}
	return all, nil
}

// targets returns the targets of the load: the routers, and with Direct the servers.
func (r *run) targets() []target {
	var all []target
	for _, i := range r.instances {
		all = append(all, target{address: i.CallerAddress})
	}
	if r.options.Direct {
		for _, s := range r.serverList {
			all = append(all, target{address: s.Address, service: s.Service, shard: s.Service + "/0"})
		}
	}
	return all
}
