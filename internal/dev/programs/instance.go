package programs

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// routerProgram is the program of an entry instance.
const routerProgram = "peridotmoor-router"

// Instance is one entry instance with its router.
type Instance struct {
	Name   string
	Domain string
	Region string
	// Callers, Peers and Operators are the addresses that the router listens on.
	Callers   string
	Peers     string
	Operators string
	// Traced makes the router write its spans to a file.
	Traced bool
	// Lost reports that the router was killed on purpose.
	Lost bool
	// Child is the router; nil before its start.
	Child *Child
}

// AssignPorts gives each instance free ports on loopback.
func AssignPorts(all []*Instance) error {
	free, err := ports.FreeAddresses(3 * len(all))
	if err != nil {
		return err
	}
	for n, i := range all {
		i.Callers, i.Peers, i.Operators = free[3*n], free[3*n+1], free[3*n+2]
	}
	return nil
}

// Records returns where the router writes what became of each request.
func (i *Instance) Records(dir string) string {
	return filepath.Join(dir, i.Name+".records")
}

// Start starts the router with environment variables on top of the inherited
// ones. Platform is the URL of the platform stand-in; all are the peers.
func (i *Instance) Start(children *Children, platform string, all []*Instance, environment ...string) error {
	config, err := i.writeConfig(children.dir, platform, all)
	if err != nil {
		return err
	}
	i.Child, err = children.StartWith(environment, i.Name, routerProgram, "--config", config)
	return err
}

// writeConfig writes the static settings of the router and returns their path.
func (i *Instance) writeConfig(dir, platform string, all []*Instance) (string, error) {
	file := ini.Empty()
	set := func(section, name, value string) { file.Section(section).Key(name).SetValue(value) }
	set("instance", "name", i.Name)
	set("instance", "domain", i.Domain)
	set("instance", "region", i.Region)
	set("listen", "callers", i.Callers)
	set("listen", "peers", i.Peers)
	set("listen", "operators", i.Operators)
	set("platform", "store", platform)
	set("platform", "instances", platform)
	set("peers", "addresses", strings.Join(peerAddresses(all), ","))
	set("records", "path", i.Records(dir))
	if i.Traced {
		set("trace", "path", filepath.Join(dir, i.Name+".trace"))
	}
	path := filepath.Join(dir, i.Name+".ini")
	target, err := os.Create(path)
	if err != nil {
		return "", errors.Wrap(err, "router configuration")
	}
	if _, err := file.WriteTo(target); err != nil {
		_ = target.Close()
		return "", errors.Wrap(err, "router configuration")
	}
	return path, errors.Wrap(target.Close(), "router configuration")
}

func peerAddresses(all []*Instance) []string {
	var addresses []string
	for _, one := range all {
		addresses = append(addresses, one.Peers)
	}
	return addresses
}

// WaitReady waits until the router says that it is ready.
func (i *Instance) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		err := Get(ctx, "http://"+i.Operators+"/ready", nil)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-i.Child.done:
			return errors.Errorf("%s ended before it was ready: %v; see %s", i.Name, i.Child.err, i.Child.log.Name())
		case <-ctx.Done():
			return errors.Wrapf(err, "%s was not ready in time; see %s", i.Name, i.Child.log.Name())
		}
	}
}
