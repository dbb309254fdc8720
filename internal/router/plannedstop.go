package router

import (
	"context"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// deregistrationDelay is the time in which the load balancer notices that the instance
	// is no longer ready.
	deregistrationDelay = 2 * time.Second
	// stopTimeout limits the duration of a planned stop.
	stopTimeout = 30 * time.Second
	// replyReserve is the part of stopTimeout that is left to write the last replies.
	replyReserve = 500 * time.Millisecond
)

// plannedStop reports the instance as not ready, hands its shards over and waits until
// the requests in flight have ended. It accepts only requests that end within it.
func (i *Instance) plannedStop(callers *http.Server) {
	i.components.log.Emit(events.InstanceStopping)
	endsAt := time.Now().Add(stopTimeout - replyReserve)
	i.readiness.endsAt.Store(&endsAt)
	i.readiness.stopping.Store(true)
	i.components.publisher.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = i.components.runner.Leave(ctx)
	deregistered := time.NewTimer(deregistrationDelay)
	defer deregistered.Stop()
	i.shards.handOverAll(ctx)
	<-deregistered.C
	// Requests that outlast the timeout are aborted, which is logged.
	if err := callers.Shutdown(ctx); err != nil {
		i.components.log.Emit(events.StopCutOff, "in_flight", i.forwarder.InFlight())
		_ = callers.Close()
	}
	i.shards.drainAll(ctx)
	i.components.slotReports.Wait()
}

func (i *Instance) close() {
	i.components.mirror.Close()
	_ = i.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.components.tracer.Close(ctx)
	i.components.log.Emit(events.InstanceStopped)
	i.components.log.Close()
	i.outputs.close()
}
