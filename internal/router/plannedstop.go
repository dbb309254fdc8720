package router

import (
	"context"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// deregistrationDelay gives the balancer time to notice that the instance is not ready.
	deregistrationDelay = 2 * time.Second
	// stopTimeout bounds a planned stop after the hand-over.
	stopTimeout = 30 * time.Second
)

// plannedStop leaves the balancer, hands the shards over and ends the requests
// that are in flight.
func (i *Instance) plannedStop(callers *http.Server) {
	i.components.log.Emit(events.InstanceStopping)
	i.readiness.stopping.Store(true)
	i.components.publisher.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = i.components.keeper.Leave(ctx)
	deregistered := time.NewTimer(deregistrationDelay)
	defer deregistered.Stop()
	i.shards.handOverAll(ctx)
	<-deregistered.C
	// Requests that outlast the timeout are cut off and said so in the records.
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
