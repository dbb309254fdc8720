// Command peridotmoor-dev runs simulated parts of the platform for development, the bench
// and the demo.
package main

import (
	"os"

	"peridotmoor.org/peridotmoor/internal/dev/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
