// Package command holds the subcommands of peridotmoor-dev.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is one subcommand of peridotmoor-dev with its flags.
type subcommand interface {
	// attach declares the subcommand with its flags.
	attach() *flaggy.Subcommand
	// run executes the subcommand until it completes or ctx is done.
	run(ctx context.Context, out io.Writer) error
}

// Main runs the subcommand that args name and returns the exit code. SIGINT and
// SIGTERM cancel the context of the subcommand, which then shuts down.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("peridotmoor-dev")
	parser.Description = "development stand-ins for the platform, backend servers and callers, and the demo"
	// For an unknown argument the program prints the help text and exits with code 2.
	parser.ShowHelpOnUnexpected = true
	commands := []subcommand{&platformCommand{}, &serversCommand{}, &callersCommand{}, &demoCommand{}, &benchCommand{}, &soakCommand{}}
	attached := make([]*flaggy.Subcommand, len(commands))
	for i, command := range commands {
		attached[i] = command.attach()
		parser.AttachSubcommand(attached[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "peridotmoor-dev:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, command := range commands {
		if !attached[i].Used {
			continue
		}
		if err := command.run(ctx, stdout); err != nil {
			fmt.Fprintln(stderr, "peridotmoor-dev:", err)
			return exitFailed
		}
		return exitOK
	}
	fmt.Fprintln(stderr, "peridotmoor-dev: name a subcommand: platform, servers, callers, demo, bench or soak (--help lists their flags)")
	return exitUsage
}
