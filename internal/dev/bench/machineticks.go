package bench

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// machineTicks is the processor time of the whole machineTicks since its start, in ticks.
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

// idleShareSince returns the share of processor time that was idle since before. A
// low share says that the figures of a run are those of a busy machine.
func (m machineTicks) idleShareSince(before machineTicks) float64 {
	if m.total <= before.total {
		return 0
	}
	return (m.idle - before.idle) / (m.total - before.total)
}
