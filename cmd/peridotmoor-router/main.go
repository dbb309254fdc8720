// Command peridotmoor-router runs one router instance.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/router/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stderr))
}
