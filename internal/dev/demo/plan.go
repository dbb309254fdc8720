package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// plan returns the events in order. The failure domain is taken out before any
// instance is lost, so that two instances remain at all times.
func (d *demo) plan() []event {
	out := d.instances[len(d.instances)-1].Domain
	reader := d.serverOf("shashin")
	return []event{
		{0.05, "a server answers with another request's answer", d.action(reader, "fault?value="+string(servers.FaultMismatchedResponse))},
		{0.08, "a server cuts an answer short", d.action(reader, "fault?value="+string(servers.FaultTruncatedBody))},
		{0.12, "failure domain " + out + " is taken out", d.domainTo(out, "out")},
		{0.40, "failure domain " + out + " is brought back", d.domainTo(out, "in")},
		{0.58, "the backend server that owns a probed key is lost", d.loseOwner},
		{0.68, "the router that granted the key is killed", d.killHolder},
		{0.78, "the backend server starts again, cold", d.restartLost},
	}
}

// runPlan runs the events at their times.
func (d *demo) runPlan(ctx context.Context, start time.Time) error {
	for _, e := range d.plan() {
		due := start.Add(time.Duration(e.share * float64(d.options.loadTime())))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		d.say("%s", e.what)
		if err := e.run(ctx); err != nil {
			return errors.Wrap(err, e.what)
		}
	}
	return nil
}

// serverOf returns the first server of the service.
func (d *demo) serverOf(service string) string {
	for _, server := range d.listed {
		if server.Service == service {
			return server.Name
		}
	}
	return ""
}

// action calls a control endpoint of a server.
func (d *demo) action(server, what string) func(context.Context) error {
	return func(ctx context.Context) error {
		return programs.Exchange(ctx, http.MethodPost, d.control+"/dev/servers/"+server+"/"+what, nil, nil)
	}
}

// domainTo changes the state of a failure domain through the operators' program.
func (d *demo) domainTo(domain, state string) func(context.Context) error {
	return func(ctx context.Context) error {
		d.tree.setState(domain, state)
		if err := d.apply(ctx, d.tree); err != nil {
			return err
		}
		err := d.wait(ctx)
		d.say("state = %s of %s is in effect everywhere", state, domain)
		return err
	}
}
