// Package command implements the command line of peridotmoor-entry.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/entrynode"
)

// Exit codes of peridotmoor-entry.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the instance until SIGTERM or SIGINT, which start a planned stop.
// SIGHUP reads and checks the settings file again. It returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	path, check := "", false
	parser := flaggy.NewParser("peridotmoor-entry")
	parser.Description = "Runs one entry instance of peridotmoor on a platform with its own store and list of servers."
	parser.String(&path, "c", "config", "INI file with the settings of the instance")
	parser.Bool(&check, "", "check", "check the settings file and exit")
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintf(errOut, "%v; see peridotmoor-entry --help\n", err)
		return exitUsage
	}
	if path == "" {
		fmt.Fprintln(errOut, "no settings file is given; start with --config FILE")
		return exitUsage
	}
	config, err := entrynode.Load(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if check {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	limitHeap(config.Memory)
	node := entrynode.New(config, out)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			node.Reload(path)
		}
	}()
	if err := node.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}
