package router

import (
	"context"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// settleDelay gives the balancer time to notice that the instance is not ready.
	settleDelay = 2 * time.Second
	// stopTimeout bounds a planned stop after the hand-over.
	stopTimeout = 30 * time.Second
)

// plannedStop leaves the balancer, hands the shards over and ends the requests
// that are in flight.
func (i *Instance) plannedStop(callers *http.Server) {
	i.parts.log.Emit(events.InstanceStopping)
	i.readiness.stopping.Store(true)
	i.parts.publisher.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = i.parts.keeper.Leave(ctx)
	settled := time.NewTimer(settleDelay)
	defer settled.Stop()
	i.shards.handOverAll(ctx)
	<-settled.C
	// Requests that outlast the timeout are cut off and said so in the records.
	if err := callers.Shutdown(ctx); err != nil {
		i.parts.log.Emit(events.StopCutOff, "in_flight", i.forwarder.InFlight())
		_ = callers.Close()
	}
	i.shards.drainAll(ctx)
	i.parts.reports.Wait()
}

func (i *Instance) close() {
	i.parts.mirror.Close()
	_ = i.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.parts.tracer.Close(ctx)
	i.parts.log.Emit(events.InstanceStopped)
	i.parts.log.Close()
	i.outputs.close()
}
