package placing

import (
	"fmt"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// BenchmarkTick measures a tick of a service of 300 servers in which nothing waits. The
// holder makes 20 of them a second.
func BenchmarkTick(b *testing.B) {
	var servers []fleet.Server
	for n := range 300 {
		servers = append(servers, backend(fmt.Sprint("s", n), "d1"))
	}
	sched := newScheduler(false, &soleOwner{}, servers...)
	now := start
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		sched.Tick(now)
	}
}
