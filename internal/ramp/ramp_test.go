package ramp

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a cold server that starts with more than 1 slot or 5 requests/s, and
// against a slow start that does not double the rate after each 10 consecutive
// successes.
func TestRampSteps(t *testing.T) {
	is := is.New(t)
	c := Config{Slots: 3}.WithDefaults()
	state := Cold(c)
	steps := []State{
		{Slots: 1, Rate: 5}, {Slots: 1, Rate: 10}, {Slots: 2, Rate: 20}, {Slots: 3, Rate: 40}, {Slots: 3, Warm: true},
	}
	for _, want := range steps {
		for successes := range successesPerStep {
			want.Successes = successes
			if want.Warm {
				want.Successes = 0
			}
			is.Equal(state, want)
			state = state.Success(c)
		}
	}
	is.Equal(Takeover(c), State{Slots: 1, Rate: 20})
}

// Guards against a failing server that keeps its rate, and against one that gets no
// requests at all and can never recover.
func TestFailureHalvesTheRate(t *testing.T) {
	is := is.New(t)
	c := Config{Slots: 3}.WithDefaults()
	state := Cold(c)
	for range 9 {
		state = state.Success(c)
	}
	state = state.Failure()
	is.Equal(state, State{Slots: 1, Rate: 2.5})
	for range 10 {
		state = state.Failure()
	}
	is.Equal(state.Rate, 1.0)
	is.Equal(Warm(c).Failure(), Warm(c))
}

// Guards against a cold start that is not detected, and against a warm server that is
// taken for cold.
func TestDetector(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name    string
		observe func(d ColdStartDetector) (ColdStartDetector, Reason)
		want    Reason
	}{
		{"first incarnation", func(d ColdStartDetector) (ColdStartDetector, Reason) { return d.ObserveIncarnation("a") }, ReasonNone},
		{"no incarnation", func(d ColdStartDetector) (ColdStartDetector, Reason) {
			d, _ = d.ObserveIncarnation("a")
			return d.ObserveIncarnation("")
		}, ReasonNone},
		{"new incarnation", func(d ColdStartDetector) (ColdStartDetector, Reason) {
			d, _ = d.ObserveIncarnation("a")
			return d.ObserveIncarnation("b")
		}, ReasonIncarnation},
		{"refused, then accepted", func(d ColdStartDetector) (ColdStartDetector, Reason) { return d.ObserveRefused().ObserveAccepted() }, ReasonReconnected},
		{"accepted twice after a refusal", func(d ColdStartDetector) (ColdStartDetector, Reason) {
			d, _ = d.ObserveRefused().ObserveAccepted()
			return d.ObserveAccepted()
		}, ReasonNone},
		{"one shed", func(d ColdStartDetector) (ColdStartDetector, Reason) { return d.ObserveShed(now) }, ReasonNone},
		{"two sheds within 1 s", func(d ColdStartDetector) (ColdStartDetector, Reason) {
			d, _ = d.ObserveShed(now)
			return d.ObserveShed(now.Add(time.Second))
		}, ReasonSheds},
		{"two sheds apart", func(d ColdStartDetector) (ColdStartDetector, Reason) {
			d, _ = d.ObserveShed(now)
			return d.ObserveShed(now.Add(1001 * time.Millisecond))
		}, ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, reason := c.observe(ColdStartDetector{})
			is.New(t).Equal(reason, c.want)
		})
	}
}

// Guards against slow responses of a busy server, or of one with few samples, that are
// taken for a cold start.
func TestSlowWhileIdle(t *testing.T) {
	is := is.New(t)
	is.True(SlowWhileIdle(41*time.Millisecond, 10*time.Millisecond, 100, 1))
	is.True(!SlowWhileIdle(40*time.Millisecond, 10*time.Millisecond, 100, 1))
	is.True(!SlowWhileIdle(41*time.Millisecond, 10*time.Millisecond, 100, 2))
	is.True(!SlowWhileIdle(41*time.Millisecond, 10*time.Millisecond, 49, 1))
	is.True(!SlowWhileIdle(4*time.Millisecond, 100*time.Microsecond, 100, 1))
}
