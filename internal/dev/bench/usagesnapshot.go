package bench

import (
	"context"
	"os"
	"time"
)

// usageSnapshot holds the resource usage of all processes of a run and the metrics of the
// routers at one time.
type usageSnapshot struct {
	takenAt  time.Time
	machine  machineTicks
	bench    processUsage
	servers  processUsage
	platform processUsage
	routers  []processUsage
	metrics  []metricSums
}

func (r *run) takeSnapshot(ctx context.Context) (usageSnapshot, error) {
	s := usageSnapshot{takenAt: time.Now()}
	var err error
	if s.machine, err = readMachineTicks(); err != nil {
		return s, err
	}
	if s.bench, err = readProcessUsage(os.Getpid()); err != nil {
		return s, err
	}
	if s.servers, err = readProcessUsage(r.serversProcess.PID()); err != nil {
		return s, err
	}
	if r.options.Direct {
		return s, nil
	}
	if s.platform, err = readProcessUsage(r.platformProcess.PID()); err != nil {
		return s, err
	}
	return s, r.readRouters(ctx, &s)
}

func (r *run) readRouters(ctx context.Context, s *usageSnapshot) error {
	for _, i := range r.instances {
		used, err := readProcessUsage(i.Child.PID())
		if err != nil {
			return err
		}
		s.routers = append(s.routers, used)
	}
	for _, i := range r.instances {
		counted, err := fetchMetrics(ctx, i.OperatorAddress)
		if err != nil {
			return err
		}
		s.metrics = append(s.metrics, counted)
	}
	return nil
}
