package demo

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/platform"
	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/instances"
	"peridotmoor.org/peridotmoor/internal/instances/httplist"
)

// listLagMS is the delay before a change of the instance list becomes visible.
const listLagMS = 2000

func (d *demo) startPlatform(ctx context.Context) error {
	child, err := d.children.Start("platform", programDev, "platform")
	if err != nil {
		return err
	}
	address, err := child.WaitListening(ctx)
	if err != nil {
		return err
	}
	d.platform = "http://" + address
	d.printProgress("platform stand-in started")
	return nil
}

// startServers starts the backend servers of the settings tree and sets their addresses in it.
func (d *demo) startServers(ctx context.Context) error {
	child, err := d.children.Start("servers", programDev, "servers",
		"--settings", d.options.Settings, "--seed", strconv.FormatUint(d.options.Seed, 10))
	if err != nil {
		return err
	}
	address, err := child.WaitListening(ctx)
	if err != nil {
		return err
	}
	d.control = "http://" + address
	if err := programs.Get(ctx, d.control+"/dev/servers", &d.listed); err != nil {
		return err
	}
	d.tree.setAddresses(d.listed)
	d.printProgress("%d backend servers started", len(d.listed))
	return nil
}

// startRouters applies the settings tree and starts one router for each failure domain.
func (d *demo) startRouters(ctx context.Context) error {
	if err := d.apply(ctx, d.tree); err != nil {
		return err
	}
	created, err := newInstances(d.tree, d.children)
	if err != nil {
		return err
	}
	if len(created) < 2 {
		return errors.New("the settings tree names fewer than 2 failure domains; the demo takes one out")
	}
	d.instances = created
	if err := d.register(ctx); err != nil {
		return err
	}
	for _, i := range d.instances {
		if err := i.Start(d.children, d.platform, d.instances); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	d.printProgress("%d routers are ready", len(d.instances))
	return d.waitInEffect(ctx)
}

// register adds the instances to the platform's instance list, then makes the list lag.
func (d *demo) register(ctx context.Context) error {
	for _, i := range d.instances {
		listed := httplist.ListedInstance{Name: i.Name, Address: i.PeerAddress, Domain: i.Domain, State: instances.Live}
		if err := programs.Post(ctx, d.platform+"/dev/instances", listed); err != nil {
			return err
		}
	}
	lag := listLagMS
	return programs.Post(ctx, d.platform+"/dev/faults", platform.FaultSettings{ListLagMS: &lag})
}
