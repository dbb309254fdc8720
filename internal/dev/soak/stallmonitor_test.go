package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an allowance for stalls outside of the stop, or of any length.
func TestStallAllowance(t *testing.T) {
	is := is.New(t)
	var m stallMonitor
	now := time.Now()
	is.Equal(m.since(now), time.Duration(0))
	m.add(stall{now.Add(-time.Second), 300 * time.Millisecond})
	m.add(stall{now, 200 * time.Millisecond})
	is.Equal(m.since(now), 200*time.Millisecond)
	m.add(stall{now, time.Hour})
	is.Equal(m.since(now), maxStallAllowance)
}
