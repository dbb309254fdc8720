package programs

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// routerProgram is the name of the router's program.
const routerProgram = "peridotmoor-router"

// Instance is one entry instance and the router process that serves it.
type Instance struct {
	Name   string
	Domain string
	Region string
	// CallerAddress, PeerAddress and OperatorAddress are the addresses that the router listens on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// Traced makes the router write its tracing spans to a file.
	Traced bool
	// Killed reports that the router was killed on purpose.
	Killed bool
	// Child is the router process; nil before Start.
	Child *Child
}

// RecordsPath returns the path of the file to which the router writes its request records.
func (i *Instance) RecordsPath(dir string) string {
	return filepath.Join(dir, i.Name+".records")
}

// Start starts the router with environment variables in addition to the inherited
// ones. platform is the URL of the platform stand-in; the addresses of all become its peers.
func (i *Instance) Start(children *Launcher, platform string, all []*Instance, environment ...string) error {
	config, err := i.writeConfig(children.dir, platform, all)
	if err != nil {
		return err
	}
	i.Child, err = children.StartWithEnv(environment, i.Name, routerProgram, "--config", config)
	return err
}

// writeConfig writes the static configuration of the router and returns its path.
func (i *Instance) writeConfig(dir, platform string, all []*Instance) (string, error) {
	file := ini.Empty()
	set := func(section, name, value string) { file.Section(section).Key(name).SetValue(value) }
	set("instance", "name", i.Name)
	set("instance", "domain", i.Domain)
	set("instance", "region", i.Region)
	set("listen", "callers", i.CallerAddress)
	set("listen", "peers", i.PeerAddress)
	set("listen", "operators", i.OperatorAddress)
	set("platform", "store", platform)
	set("platform", "instances", platform)
	set("peers", "addresses", strings.Join(peerAddresses(all), ","))
	set("records", "path", i.RecordsPath(dir))
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
		addresses = append(addresses, one.PeerAddress)
	}
	return addresses
}

// WaitReady waits until the readiness probe of the router succeeds.
func (i *Instance) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		err := Get(ctx, "http://"+i.OperatorAddress+"/ready", nil)
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
