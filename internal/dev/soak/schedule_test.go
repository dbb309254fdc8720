package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a seed that does not determine the schedule, against kinds of events
// that no seed draws, and against targets that do not exist.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	kinds := map[eventKind]bool{}
	for seed := range uint64(100) {
		s := newSchedule(seed, 12*time.Second, 7, 12)
		is.Equal(fmt.Sprint(s), fmt.Sprint(newSchedule(seed, 12*time.Second, 7, 12)))
		for _, e := range s.events {
			kinds[e.kind] = true
			count := 7
			if e.kind == eventServerCrash || e.kind == eventServerDrain || e.kind == eventServerFault {
				count = 12
			}
			for _, target := range e.targets {
				is.True(target >= holderTarget && target < count)
			}
		}
	}
	for _, theme := range themes {
		for _, w := range theme.weights {
			is.True(kinds[w.kind])
		}
	}
}
