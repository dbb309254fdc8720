package bench

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// machineTicks is the processor time of the whole machine since boot, in clock ticks.
type machineTicks struct {
	idle, total float64
}

func readMachineTicks() (machineTicks, error) {
	content, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machineTicks{}, errors.Wrap(err, "processor time of the machine")
	}
	line, _, _ := strings.Cut(string(content), "\n")
	var m machineTicks
	for number, field := range strings.Fields(line)[1:] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return machineTicks{}, errors.Wrap(err, "processor time of the machine")
		}
		m.total += ticks
		if number == 3 {
			m.idle = ticks
		}
	}
	return m, nil
}

// idleShareSince returns the share of processor time since before that was idle. A low
// share means that the load of the machine distorts the figures of the run.
func (m machineTicks) idleShareSince(before machineTicks) float64 {
	if m.total <= before.total {
		return 0
	}
	return (m.idle - before.idle) / (m.total - before.total)
}
