package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallProbeInterval is the sleep whose lateness shows how long processes wait for a processor.
	stallProbeInterval = 10 * time.Millisecond
	// minStall is the least lateness that counts; timers of an idle machine are less late.
	minStall = 10 * time.Millisecond
	// maxStallAllowance limits how much longer than the grace period a stop may take for stalls.
	maxStallAllowance = time.Second
)

// stallMonitor measures for how long the machine of the soak, which runs other work too,
// kept a process from running. The platform's pages count a slowed machine as impaired,
// so that time does not count towards the grace period.
type stallMonitor struct {
	mu     sync.Mutex
	stalls []stall
}

// run measures until ctx is done.
func (m *stallMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(stallProbeInterval)
		if late := time.Since(start) - stallProbeInterval; late >= minStall {
			m.add(stall{at: start, length: late})
		}
	}
}

func (m *stallMonitor) add(s stall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, s)
}

// since returns the total length of the stalls since the given time, up to maxStallAllowance.
func (m *stallMonitor) since(from time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total time.Duration
	for _, s := range m.stalls {
		if !s.at.Before(from) {
			total += s.length
		}
	}
	return min(total, maxStallAllowance)
}
