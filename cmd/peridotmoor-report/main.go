// Command peridotmoor-report reconstructs from event records what happened to each
// request; see docs/analyst.md.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/report/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
