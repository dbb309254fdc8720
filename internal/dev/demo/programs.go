package demo

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// author names the demo in the history of the settings.
const author = "demo"

// The programs that the demo starts.
const (
	programDev    = "peridotmoor-dev"
	programRouter = "peridotmoor-router"
	programCtl    = "peridotmoorctl"
	programReport = "peridotmoor-report"
)

// runProgram runs a program to its end and returns its output.
func (d *demo) runProgram(ctx context.Context, program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, filepath.Join(d.options.Bin, program), args...).CombinedOutput()
	text := strings.TrimSpace(string(output))
	if err != nil {
		return text, errors.Wrapf(err, "%s %s: %s", program, strings.Join(args, " "), text)
	}
	return text, nil
}

// apply makes the tree the version in effect.
func (d *demo) apply(ctx context.Context, t *tree) error {
	path := filepath.Join(d.dir, "settings.ini")
	if err := t.write(path); err != nil {
		return err
	}
	_, err := d.runProgram(ctx, programCtl, "apply", "--store", d.platform, "--author", author, path)
	return err
}

// wait returns when the version in effect has reached every instance.
func (d *demo) wait(ctx context.Context) error {
	_, err := d.runProgram(ctx, programCtl, "wait", "--store", d.platform)
	return err
}

// verify lets the report program compare the routers' records with the run log
// of the servers and the records of the callers. It returns an empty text when the program is not there.
func (d *demo) verify(ctx context.Context) (string, error) {
	if _, err := os.Stat(filepath.Join(d.options.Bin, programReport)); err != nil {
		return "", nil
	}
	args := []string{"verify", "--runlog", d.runlogPath(), "--callers", d.callersPath()}
	for _, i := range d.instances {
		args = append(args, i.records(d.dir))
	}
	return d.runProgram(ctx, programReport, args...)
}

func (d *demo) runlogPath() string {
	return filepath.Join(d.dir, "runlog.json")
}

func (d *demo) callersPath() string {
	return filepath.Join(d.dir, "callers.json")
}
