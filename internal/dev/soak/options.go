package soak

import (
	"time"

	"github.com/pkg/errors"
)

// Options are the parameters of a soak.
type Options struct {
	// ProgramDir is the directory of peridotmoor-entry.
	ProgramDir string
	// Dir receives a directory of logs for each failed seed; "" means a new temporary one.
	Dir string
	// Seed is the first seed and Seeds the number of consecutive seeds to play.
	Seed  uint64
	Seeds int
	// Instances is the number of instances, each one process.
	Instances int
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Callers is the number of callers; 0 means five for each instance.
	Callers int
	// Theme names the mix of events; "" draws one.
	Theme string
	// Servers is the number of backend servers of each service.
	Servers int
}

// DefaultOptions returns the options of a usual run, about 25 s for each seed.
func DefaultOptions() Options {
	return Options{ProgramDir: "bin", Seed: 1, Seeds: 1, Instances: 9, Duration: 12 * time.Second, Servers: 3}
}

func (o Options) check() error {
	if o.Seeds < 1 || o.Instances < 1 || o.Servers < 1 || o.Duration <= 0 || o.Callers < 0 {
		return errors.New("seeds, instances, servers and duration must be above 0")
	}
	if _, found := themeOf(o.Theme); o.Theme != "" && !found {
		return errors.Errorf("theme %q does not exist; docs/soak.md lists the themes", o.Theme)
	}
	return nil
}

func (o Options) callerCount() int {
	if o.Callers > 0 {
		return o.Callers
	}
	return 5 * o.Instances
}
