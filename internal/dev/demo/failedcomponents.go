package demo

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// failedComponents names the components that the plan has made fail.
type failedComponents struct {
	// server is the backend server that was crashed.
	server string
	// holder is the instance that had granted it the first probed key.
	holder string
}

// owner returns the current owner of a probed key, as the stand-ins report it.
func (d *demo) owner(ctx context.Context, key string) (servers.KeyOwner, error) {
	var found servers.KeyOwner
	query := url.Values{"service": {probe().Service}, "key": {key}}
	err := programs.Get(ctx, d.control+"/dev/owner?"+query.Encode(), &found)
	return found, err
}

// crashOwner crashes the backend server that owns the first probed key.
func (d *demo) crashOwner(ctx context.Context) error {
	found, err := d.owner(ctx, probeKeyNames()[0])
	if err != nil {
		return err
	}
	d.failed = failedComponents{server: found.Server, holder: found.Holder}
	d.printProgress("%s is lost", found.Server)
	return d.serverAction(found.Server, "crash")(ctx)
}

// restartServer restarts the server that was crashed.
func (d *demo) restartServer(ctx context.Context) error {
	return d.serverAction(d.failed.server, "start")(ctx)
}

// killHolder kills the router that had granted the key to the crashed server and
// removes it from the platform's instance list, which shows the change after its lag.
func (d *demo) killHolder(ctx context.Context) error {
	for _, i := range d.instances {
		if i.Name != d.failed.holder {
			continue
		}
		i.Killed = true
		i.Child.Kill()
		d.printProgress("%s is killed", i.Name)
		return programs.Call(ctx, http.MethodDelete, d.platform+"/dev/instances/"+i.Name, nil, nil)
	}
	return errors.Errorf("server %s got its grant from %q, which is no instance of the demo", d.failed.server, d.failed.holder)
}
