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
	begin     time.Time
	children  *programs.Children
	tree      *tree
	listed    []servers.ServerInfo
	platform  string // URL
	control   string // URL of the servers' control endpoints
	instances []*programs.Instance
	// accepted is the number of the settings version that was applied last.
	accepted int
	lost     losses
}

// Run runs the demo and prints its progress to out. The last line is the
// verdict. It returns an error when an invariant was violated or a step failed;
// in each case no program is left behind.
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
		options:  options,
		dir:      dir,
		out:      out,
		begin:    time.Now(),
		tree:     settings,
		children: programs.NewChildren(options.Bin, dir),
	}
	defer func() {
		if err == nil {
			remove()
			return
		}
		err = errors.Wrapf(err, "logs and records are in %s", dir)
	}()
	defer d.children.Close()
	defer programs.Client.CloseIdleConnections()
	return d.run(ctx)
}

// workDir returns the directory of the run and a function that removes it if it was made here.
func workDir(given string) (string, func(), error) {
	if given != "" {
		return given, func() {}, errors.Wrap(os.MkdirAll(given, 0o755), "--dir")
	}
	made, err := os.MkdirTemp("", "peridotmoor-demo-")
	return made, func() { _ = os.RemoveAll(made) }, errors.Wrap(err, "directory of the run")
}

// say prints one line of progress.
func (d *demo) say(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
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
	return d.conclude(ctx, result)
}
