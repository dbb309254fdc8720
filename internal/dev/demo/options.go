package demo

import (
	"time"

	"github.com/pkg/errors"
)

// Time limits of the demo.
const (
	// totalTimeout limits the whole demo, including the stop of its programs.
	totalTimeout = 29 * time.Second
	// commandTimeout limits one call of peridotmoorctl or peridotmoor-report.
	commandTimeout = 8 * time.Second
)

// Options configure the demo.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Settings is the settings tree to start from; the addresses of its servers are replaced.
	Settings string
	// Dir receives configuration, logs and records. If empty, a temporary directory
	// is created and removed after a run without errors.
	Dir string
	// Rate is in requests per second and Count is the number of requests, both without the probes.
	Rate  int
	Count int
	Seed  uint64
}

// DefaultOptions returns the options of a demo that takes less than 30 s.
func DefaultOptions() Options {
	return Options{Bin: "bin", Settings: "examples/kyushu.ini", Rate: 300, Count: 3900, Seed: 1}
}

func (o Options) check() error {
	if o.Rate <= 0 || o.Count <= 0 {
		return errors.New("rate and count must be above 0")
	}
	if o.loadTime() > 16*time.Second {
		return errors.Errorf("%d requests at %d/s take longer than 16 s; lower --count or raise --rate", o.Count, o.Rate)
	}
	return nil
}

// loadTime is the duration of the load.
func (o Options) loadTime() time.Duration {
	return time.Duration(o.Count) * time.Second / time.Duration(o.Rate)
}
