package demo

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// author is the author of the settings versions that the demo applies.
const author = "demo"

// The programs that the demo starts.
const (
	programDev    = "peridotmoor-dev"
	programRouter = "peridotmoor-router"
	programCtl    = "peridotmoorctl"
	programReport = "peridotmoor-report"
)

// runProgram runs a program to completion and returns its output.
func (d *demo) runProgram(ctx context.Context, program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return d.children.CombinedOutput(ctx, program, args...)
}

// apply stores the tree as the accepted settings version.
func (d *demo) apply(ctx context.Context, t *settingsTree) error {
	path := filepath.Join(d.dir, "settings.ini")
	if err := t.write(path); err != nil {
		return err
	}
	args := append([]string{"apply", "--store", d.platform, "--author", author, "--parent", strconv.Itoa(d.accepted)}, d.instanceArgs()...)
	_, err := d.runProgram(ctx, programCtl, append(args, path)...)
	if err == nil {
		d.accepted++
	}
	return err
}

// instanceArgs returns the flags that name the operators' endpoints of the running routers.
func (d *demo) instanceArgs() []string {
	var running []string
	for _, i := range d.instances {
		if i.Child != nil && !i.Killed {
			running = append(running, i.OperatorAddress)
		}
	}
	if len(running) == 0 {
		return []string{"--no-instances"}
	}
	return []string{"--instances", strings.Join(running, ",")}
}

// waitInEffect returns when the accepted version is in effect at every running instance.
func (d *demo) waitInEffect(ctx context.Context) error {
	args := append([]string{"wait", "--store", d.platform}, d.instanceArgs()...)
	_, err := d.runProgram(ctx, programCtl, args...)
	return err
}

// verify runs the report program, which compares the routers' records with the run
// log of the servers and the records of the callers. It returns an empty text if the
// program has not been built.
func (d *demo) verify(ctx context.Context) (string, error) {
	if _, err := os.Stat(filepath.Join(d.options.Bin, programReport)); err != nil {
		return "", nil
	}
	args := []string{"verify", "--runlog", d.runlogPath(), "--callers", d.callersPath()}
	for _, i := range d.instances {
		args = append(args, i.RecordsPath(d.dir))
	}
	return d.runProgram(ctx, programReport, args...)
}

func (d *demo) runlogPath() string {
	return filepath.Join(d.dir, "runlog.json")
}

func (d *demo) callersPath() string {
	return filepath.Join(d.dir, "callers.json")
}
