// Command peridotmoor-dev runs the development environment (simulated backend servers,
// platform and callers) and the demo.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/dev/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
