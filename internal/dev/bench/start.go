package bench

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/instances"
	"peridotmoor.org/peridotmoor/internal/instances/httplist"
)

// Names of the programs that a run starts, apart from the routers.
const (
	programDev = "peridotmoor-dev"
	programCtl = "peridotmoorctl"
)

// start starts the servers and, unless the load goes to them directly, the platform and
// the routers. It returns when the settings are in effect.
func (r *run) start(ctx context.Context) error {
	if err := r.startServers(ctx); err != nil {
		return err
	}
	if r.options.Direct {
		return nil
	}
	steps := []func(context.Context) error{r.startPlatform, r.applySettings, r.startRouters, r.waitForSettings}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startServers(ctx context.Context) error {
	path, err := r.writeSettings()
	if err != nil {
		return err
	}
	r.serversProcess, err = r.launcher.Start("servers", programDev, "servers", "--settings", path,
		"--median-ms", strconv.Itoa(r.options.ServiceTimeMS), "--seed", strconv.FormatUint(r.options.Seed, 10))
	if err != nil {
		return err
	}
	address, err := r.serversProcess.WaitListening(ctx)
	if err != nil {
		return err
	}
	return programs.Get(ctx, "http://"+address+"/dev/servers", &r.serverList)
}

// writeSettings writes the settings file, with the addresses of the servers if they have
// been started, and returns its path.
func (r *run) writeSettings() (string, error) {
	path := filepath.Join(r.dir, "settings.ini")
	text := settingsText(r.options, addressesByName(r.serverList), r.settingsVersion)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o644), "settings tree")
}

func (r *run) startPlatform(ctx context.Context) error {
	var err error
	if r.platformProcess, err = r.launcher.Start("platform", programDev, "platform"); err != nil {
		return err
	}
	address, err := r.platformProcess.WaitListening(ctx)
	r.platformURL = "http://" + address
	return err
}

func (r *run) applySettings(ctx context.Context) error {
	path, err := r.writeSettings()
	if err != nil {
		return err
	}
	_, err = r.launcher.CombinedOutput(ctx, programCtl, "apply", "--store", r.platformURL, "--author", "bench",
		"--parent", strconv.Itoa(r.settingsVersion), "--no-instances", path)
	r.settingsVersion++
	return err
}

func (r *run) startRouters(ctx context.Context) error {
	for n := range r.options.Routers {
		domain := domainName(n % r.options.Domains)
		r.instances = append(r.instances, &programs.Instance{Name: "entry-" + strconv.Itoa(n), Domain: domain, Region: region})
	}
	if err := r.launcher.AssignPorts(r.instances); err != nil {
		return err
	}
	for _, i := range r.instances {
		listed := httplist.ListedInstance{Name: i.Name, Address: i.PeerAddress, Domain: i.Domain, State: instances.Live}
		if err := programs.Post(ctx, r.platformURL+"/dev/instances", listed); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.Start(r.launcher, r.platformURL, r.instances, r.routerEnvironment()...); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// routerEnvironment returns the environment variables that limit the processors of a
// router, or nil.
func (r *run) routerEnvironment() []string {
	if r.options.MaxProcs == 0 {
		return nil
	}
	return []string{"GOMAXPROCS=" + strconv.Itoa(r.options.MaxProcs)}
}

// waitForSettings waits until the settings are in effect in every router.
func (r *run) waitForSettings(ctx context.Context) error {
	var operators []string
	for _, i := range r.instances {
		operators = append(operators, i.OperatorAddress)
	}
	_, err := r.launcher.CombinedOutput(ctx, programCtl, "wait", "--store", r.platformURL, "--instances", strings.Join(operators, ","))
	return err
}

// measureSettingsDelay applies another version of the settings and returns the time until
// it is in effect in every router. The time includes two starts of peridotmoorctl.
func (r *run) measureSettingsDelay(ctx context.Context) (time.Duration, error) {
	if r.options.Direct {
		return 0, nil
	}
	begin := time.Now()
	if err := r.applySettings(ctx); err != nil {
		return 0, err
	}
	err := r.waitForSettings(ctx)
	return time.Since(begin), err
}
