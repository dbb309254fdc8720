package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a hedge that exceeds the share of the requests of the window that ends with
// it. In a window that ends later, the requests before the hedge may have dropped out.
func TestEachHedgeIsWithinTheShareOfItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		l, now := NewLimit(window, share), time.Unix(1000, 0)
		var requests, hedges []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				l.CountRequest(now)
				requests = append(requests, now)
			}
			if !l.Allows(now) {
				continue
			}
			l.CountHedge(now)
			hedges = append(hedges, now)
			count := func(times []time.Time) (n float64) {
				for _, at := range times {
					if now.Sub(at) < window {
						n++
					}
				}
				return n
			}
			if count(hedges) > share*count(requests) {
				t.Fatalf("%v hedges of %v requests with share %v", count(hedges), count(requests), share)
			}
		}
	})
}

// Guards against hedges of a new holder beside those that the last one allowed, and against
// hedges beyond the share after the clock was set back.
func TestUnknownHedgesBlockOneWindow(t *testing.T) {
	is := is.New(t)
	l, now := NewLimit(10*time.Second, 1), time.Unix(1000, 0)
	l.Block(now)
	l.CountRequest(now.Add(9 * time.Second))
	is.True(!l.Allows(now.Add(9 * time.Second)))
	is.True(l.Allows(now.Add(10 * time.Second)))
	l.CountRequest(now)
	is.True(!l.Allows(now))
}

// Guards against a division by 0 where nothing is set.
func TestLimitOfNothing(t *testing.T) {
	is := is.New(t)
	l := Limit{}
	l.CountRequest(time.Unix(1000, 0))
	is.True(!l.Allows(time.Unix(1000, 0)))
}
