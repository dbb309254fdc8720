package demo

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// losses remembers what the plan has broken.
type losses struct {
	// server is the backend server that was lost.
	server string
	// holder is the instance that had granted it a probed key.
	holder string
}

// owner asks the stand-ins who owns a probed key now.
func (d *demo) owner(ctx context.Context, key string) (servers.KeyOwner, error) {
	var found servers.KeyOwner
	query := url.Values{"service": {probe().Service}, "key": {key}}
	err := programs.Get(ctx, d.control+"/dev/owner?"+query.Encode(), &found)
	return found, err
}

// loseOwner crashes the backend server that owns the first probed key.
func (d *demo) loseOwner(ctx context.Context) error {
	found, err := d.owner(ctx, probeKeyNames()[0])
	if err != nil {
		return err
	}
	d.lost = losses{server: found.Server, holder: found.Holder}
	d.say("%s is lost", found.Server)
	return d.action(found.Server, "crash")(ctx)
}

// restartLost starts the lost server again.
func (d *demo) restartLost(ctx context.Context) error {
	return d.action(d.lost.server, "start")(ctx)
}

// killHolder kills the router that had granted the key to the lost server and
// takes it off the platform's list, which shows that after its lag.
func (d *demo) killHolder(ctx context.Context) error {
	for _, i := range d.instances {
		if i.Name != d.lost.holder {
			continue
		}
		i.Lost = true
		i.Child.Kill()
		d.say("%s is killed", i.Name)
		return programs.Exchange(ctx, http.MethodDelete, d.platform+"/dev/instances/"+i.Name, nil, nil)
	}
	return errors.Errorf("server %s got its grant from %q, which is no instance of the demo", d.lost.server, d.lost.holder)
}
