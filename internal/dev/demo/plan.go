package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// plan returns the events in order. The failure domain is back in service before
// the router is killed, so that two instances remain at all times.
func (d *demo) plan() []plannedEvent {
	out := d.instances[len(d.instances)-1].Domain
	reader := d.firstServerOf("shashin")
	return []plannedEvent{
		{0.05, "a server answers with another request's answer", d.serverAction(reader, "fault?value="+string(servers.FaultMismatchedResponse))},
		{0.08, "a server cuts an answer short", d.serverAction(reader, "fault?value="+string(servers.FaultTruncatedBody))},
		{0.12, "failure domain " + out + " is taken out", d.setDomainState(out, "out")},
		{0.40, "failure domain " + out + " is brought back", d.setDomainState(out, "in")},
		{0.58, "the backend server that owns a probed key is lost", d.crashOwner},
		{0.68, "the router that granted the key is killed", d.killHolder},
		{0.78, "the backend server starts again, cold", d.restartServer},
	}
}

// runPlan runs each event at its time and stops at the first error.
func (d *demo) runPlan(ctx context.Context, start time.Time) error {
	for _, e := range d.plan() {
		due := start.Add(time.Duration(e.loadFraction * float64(d.options.loadTime())))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		d.printProgress("%s", e.description)
		if err := e.run(ctx); err != nil {
			return errors.Wrap(err, e.description)
		}
	}
	return nil
}

// firstServerOf returns the first server of the service.
func (d *demo) firstServerOf(service string) string {
	for _, server := range d.listed {
		if server.Service == service {
			return server.Name
		}
	}
	return ""
}

// serverAction calls a control endpoint of a server.
func (d *demo) serverAction(server, what string) func(context.Context) error {
	return func(ctx context.Context) error {
		return programs.Call(ctx, http.MethodPost, d.control+"/dev/servers/"+server+"/"+what, nil, nil)
	}
}

// setDomainState changes the state of a failure domain with peridotmoorctl and waits until the change is in effect.
func (d *demo) setDomainState(domain, state string) func(context.Context) error {
	return func(ctx context.Context) error {
		d.tree.setState(domain, state)
		if err := d.apply(ctx, d.tree); err != nil {
			return err
		}
		err := d.waitInEffect(ctx)
		d.printProgress("state = %s of %s is in effect everywhere", state, domain)
		return err
	}
}
