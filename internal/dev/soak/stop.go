package soak

import (
	"syscall"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

// stop makes a planned stop, with a second SIGTERM after the given time unless that is
// 0, and SIGKILL at the end of the grace period, which does not count stalls of the machine.
func (f *faults) stop(i *instance, again time.Duration) {
	start := time.Now()
	done := i.signal(syscall.SIGTERM)
	grace := time.NewTimer(check.GracePeriod)
	defer grace.Stop()
	var second <-chan time.Time
	if again > 0 {
		second = time.After(again)
	}
	for {
		select {
		case <-done:
			return
		case <-second:
			i.signal(syscall.SIGTERM)
			second = nil
		case <-grace.C:
			allowance := f.p.stalls.since(start)
			f.p.note("%s has not ended at the end of the grace period; the machine stalled for %v", i.name, allowance)
			select {
			case <-done:
			case <-time.After(allowance):
				<-i.signal(syscall.SIGKILL)
			}
			return
		}
	}
}
