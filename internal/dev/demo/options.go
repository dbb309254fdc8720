package demo

import (
	"time"

	"github.com/pkg/errors"
)

// The bounds of the demo's steps.
const (
	// totalTimeout bounds the whole demo, with its stops.
	totalTimeout = 29 * time.Second
	// commandTimeout bounds one call of an operators' or analysts' program.
	commandTimeout = 8 * time.Second
)

// Options say what the demo runs.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Settings is the settings tree to start from; the addresses of its servers are replaced.
	Settings string
	// Dir takes configuration, logs and records. When empty, a new one is made
	// and removed again if all went well.
	Dir string
	// Rate is in requests per second and Count is how many are sent, probes apart.
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

// loadTime is how long the load takes.
func (o Options) loadTime() time.Duration {
	return time.Duration(o.Count) * time.Second / time.Duration(o.Rate)
}
