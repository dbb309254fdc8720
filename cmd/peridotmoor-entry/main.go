// Command peridotmoor-entry runs one entry instance on a platform that has its own store
// and list of backend servers.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/entrynode/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
