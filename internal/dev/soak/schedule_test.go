package soak

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a seed that does not determine the schedule, against kinds of events
// that no seed draws, and against targets that do not exist.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	kinds := map[eventKind]bool{}
	options := DefaultOptions()
	for seed := range uint64(200) {
		options.Theme = ""
		if seed >= 100 {
			options.Theme = namedThemes[seed%uint64(len(namedThemes))].name
		}
		s := newSchedule(seed, options)
		is.Equal(fmt.Sprint(s), fmt.Sprint(newSchedule(seed, options)))
		for _, e := range s.events {
			kinds[e.kind] = true
			count := options.Instances
			if strings.HasPrefix(string(e.kind), "server ") {
				count = options.Servers * len(services)
			}
			for _, target := range e.targets {
				is.True(target >= holderTarget && target < count)
			}
		}
	}
	options.Theme = "links"
	is.Equal(newSchedule(1, options).theme, "links")
	for _, theme := range append(namedThemes, themes...) {
		for _, w := range theme.weights {
			is.True(kinds[w.kind])
		}
	}
}
