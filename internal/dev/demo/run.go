package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// demo is one run of the demo.
type demo struct {
	options   Options
	dir       string
	out       io.Writer
	outMu     sync.Mutex
	startedAt time.Time
	children  *programs.Launcher
	tree      *settingsTree
	listed    []servers.ServerInfo
	platform  string // URL
	control   string // URL of the servers' control endpoints
	instances []*programs.Instance
	// accepted is the number of the accepted settings version, which was applied last.
	accepted int
	failed   failedComponents
}

// Run runs the demo and prints its progress to out. The last line holds the
// counts of the check. It returns an error if an invariant was violated or a step
// failed; in each case all programs that it started have ended.
func Run(ctx context.Context, options Options, out io.Writer) (err error) {
	if err := options.check(); err != nil {
		return err
	}
	settings, err := loadTree(options.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, totalTimeout-programs.StopTimeout)
	defer cancel()
	dir, remove, err := workDir(options.Dir)
	if err != nil {
		return err
	}
	d := &demo{
		options:   options,
		dir:       dir,
		out:       out,
		startedAt: time.Now(),
		tree:      settings,
		children:  programs.NewLauncher(options.Bin, dir),
	}
	defer func() {
		if err == nil {
			remove()
			return
		}
		err = errors.Wrapf(err, "logs and records are in %s", dir)
	}()
	defer d.children.Close()
	defer programs.HTTPClient.CloseIdleConnections()
	return d.run(ctx)
}

// workDir returns the directory of the run and a function that removes it if workDir created it.
func workDir(given string) (string, func(), error) {
	if given != "" {
		return given, func() {}, errors.Wrap(os.MkdirAll(given, 0o755), "--dir")
	}
	made, err := os.MkdirTemp("", "peridotmoor-demo-")
	return made, func() { _ = os.RemoveAll(made) }, errors.Wrap(err, "directory of the run")
}

// printProgress prints one line with the time since the start of the run.
func (d *demo) printProgress(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.startPlatform, d.startServers, d.startRouters}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	result, err := d.load(ctx)
	if err != nil {
		return err
	}
	return d.evaluate(ctx, result)
}
