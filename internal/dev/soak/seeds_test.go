package soak

import (
	"bytes"
	"fmt"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

// regressionSeeds are seeds that failed once, with the cause. They are played with the
// options of ciOptions.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, ""},
}

// ciOptions returns options with which a seed takes about 15 s.
func ciOptions(bin string, seed uint64) Options {
	o := DefaultOptions()
	o.ProgramDir, o.Seed, o.Instances, o.Duration = bin, seed, 6, 5*time.Second
	return o
}

// Guards against the causes named in regressionSeeds, and against any other violation of
// the platform's pages in a short run of real processes.
func TestRegressionSeeds(t *testing.T) {
	is := is.New(t)
	bin := t.TempDir()
	build, err := exec.Command("go", "build", "-o", bin, "peridotmoor.org/peridotmoor/cmd/peridotmoor-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, build)
	}
	for _, c := range regressionSeeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			var out bytes.Buffer
			if err := Run(t.Context(), ciOptions(bin, c.seed), &out); err != nil {
				t.Errorf("%v; this seed once failed because %s\n%s", err, c.cause, &out)
			}
		})
	}
	is.True(len(regressionSeeds) > 0)
}
