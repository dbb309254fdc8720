package bench

import (
	"context"
	"os"
	"time"
)

// snapshot is the usage of all processes of a run at one time.
type snapshot struct {
	at       time.Time
	machine  machine
	bench    usage
	servers  usage
	platform usage
	routers  []usage
	counters []counters
}

func (r *run) snapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now()}
	var err error
	if s.machine, err = readMachine(); err != nil {
		return s, err
	}
	if s.bench, err = usageOf(os.Getpid()); err != nil {
		return s, err
	}
	if s.servers, err = usageOf(r.fleet.PID()); err != nil {
		return s, err
	}
	if r.options.Direct {
		return s, nil
	}
	if s.platform, err = usageOf(r.store.PID()); err != nil {
		return s, err
	}
	return s, r.routerUsage(ctx, &s)
}

func (r *run) routerUsage(ctx context.Context, s *snapshot) error {
	for _, i := range r.instances {
		used, err := usageOf(i.Child.PID())
		if err != nil {
			return err
		}
		s.routers = append(s.routers, used)
	}
	for _, i := range r.instances {
		counted, err := countersOf(ctx, i.OperatorAddress)
		if err != nil {
			return err
		}
		s.counters = append(s.counters, counted)
	}
	return nil
}
