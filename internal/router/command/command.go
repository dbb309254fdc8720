// Package command implements the command line of peridotmoor-router.
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"peridotmoor.org/peridotmoor/internal/nodeconfig"
	"peridotmoor.org/peridotmoor/internal/router"
)

// Exit codes of peridotmoor-router.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the instance until SIGTERM or SIGINT, which start a planned stop. It returns
// the exit code.
func Run(arguments []string, stderr io.Writer) int {
	path := ""
	parser := flaggy.NewParser("peridotmoor-router")
	parser.Description = "Runs one entry instance of peridotmoor."
	parser.String(&path, "c", "config", "INI file with the static settings of the instance (examples/instance.ini)")
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintf(stderr, "%v; see peridotmoor-router --help\n", err)
		return exitUsage
	}
	if path == "" {
		fmt.Fprintln(stderr, "no settings file is given; start with --config FILE")
		return exitUsage
	}
	config, err := nodeconfig.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance, err := router.New(ctx, *config)
	if err == nil {
		err = instance.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
