package entrynode

import (
	"net"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/gateway"
)

// stop shuts the instance down without aborting requests. It fails the readiness probe
// first, accepts only requests that end before the instance does, closes each connection
// after its response, and finally closes idle connections. Until then the instance
// follows the holder, which schedules its requests, but is not the holder any more.
func (n *Node) stop(callers net.Listener, stopElector func(), electorDone <-chan struct{}) {
	began := time.Now()
	deadline := began.Add(n.config.GracePeriod - exitReserve)
	n.log.Emit(events.InstanceStopping, "connections", n.callerServer.OpenConnections(), "in_progress", n.gateway.InProgress(),
		"ends_in_ms", time.Until(deadline).Milliseconds())
	n.stopping.Store(true)
	n.gateway.StopAt(deadline.Add(-replyReserve))
	n.callerServer.StartDraining()
	n.elector.Retire()
	time.Sleep(time.Until(began.Add(drainNotice)))
	for n.callerServer.OpenConnections() > 0 && time.Now().Before(deadline) {
		n.callerServer.CloseIdle()
		time.Sleep(drainPollInterval)
	}
	_ = callers.Close() // the process exits next, which closes the listener anyway
	n.abortCalls()
	stopElector()
	<-electorDone
	n.log.Emit(events.InstanceStopped, "connections", n.callerServer.OpenConnections(), events.FieldDuration, time.Since(began).Milliseconds())
}

// abortCalls ends the calls that are still in progress, so that each of them has a final
// reply and a line in the log that says what is known about it.
func (n *Node) abortCalls() {
	if n.gateway.InProgress() == 0 {
		return
	}
	n.log.Emit(events.StopCutOff, "in_flight", n.gateway.InProgress())
	n.callerServer.Abort(gateway.ErrInstanceEnded)
	// The connections are counted, not the calls, because the replies must be written too.
	for end := time.Now().Add(abortTimeout); n.callerServer.OpenConnections() > 0 && time.Now().Before(end); {
		time.Sleep(abortPollInterval)
	}
}
