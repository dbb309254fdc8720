package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a record that grows with what another program wrote into it, and against
// speeds that would give a server all keys or none.
func TestRelativeTimesAreBounded(t *testing.T) {
	is := is.New(t)
	odd := RelativeTimes{"s": {"a": 50, "b": 0, "c": -5, "d": 1 << 40, "e": 1000}}
	is.Equal(odd.Bounded(), RelativeTimes{"s": {"a": 50, "e": 1000}})
	many := RelativeTimes{"s": {}}
	for i := range 2 * maxRelativeTimes {
		many["s"][fmt.Sprint(i)] = 100
	}
	is.Equal(len(many.Bounded()["s"]), maxRelativeTimes)
	is.Equal(RelativeTimes(nil).Bounded().Of("s", "a"), 0.0)
	is.Equal(RelativeTimes{"s": {"a": 100, "b": 60}}.Changes(RelativeTimes{"s": {"a": 110}}), 1)
}
