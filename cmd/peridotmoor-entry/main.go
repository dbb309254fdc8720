// Command peridotmoor-entry runs one entry instance on the users' platform.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/entrynode/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
