package entrynode

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/gateway"
)

// stop shuts the instance down without aborting requests. It fails the readiness probe
// first, accepts only requests that end before the instance does, closes each connection
// after its response, and finally closes idle connections. Until shortly before its end
// the instance follows the holder, which schedules its requests, or stays the holder.
func (n *Node) stop(s services) {
	began := time.Now()
	deadline := began.Add(n.config.GracePeriod - exitReserve)
	n.log.Emit(events.InstanceStopping, "connections", n.callerServer.OpenConnections(), "in_progress", n.gateway.InProgress(),
		"ends_in_ms", time.Until(deadline).Milliseconds())
	n.stopping.Store(true)
	n.gateway.StopAt(deadline.Add(-replyReserve))
	n.callerServer.StartDraining()
	n.elector.BeginStop()
	defer time.AfterFunc(time.Until(deadline.Add(-handOverReserve)), n.elector.EndCandidacy).Stop()
	defer time.AfterFunc(time.Until(deadline.Add(-electorReserve)), s.stopElector).Stop()
	time.Sleep(min(drainNotice, time.Until(deadline)))
	n.drainConnections(deadline)
	_ = s.callers.Close() // the process exits next, which closes the listener anyway
	<-s.callersDone
	n.drainConnections(deadline) // those accepted since the last count
	n.abortCalls()
	n.backends.Deliveries.GiveUp()
	s.stopElector()
	<-s.electorDone
	untakenConnections, untakenBytes := n.callerServer.CountUntaken()
	n.log.Emit(events.InstanceStopped, "connections", n.callerServer.OpenConnections(),
		"untaken_connections", untakenConnections, "untaken_bytes", untakenBytes, events.FieldDuration, time.Since(began).Milliseconds())
}

// drainConnections closes idle connections until none is open and no upload is written any
// more, or the deadline has passed. It waits before it looks for idle ones, as a new connection
// brings its request soon.
func (n *Node) drainConnections(deadline time.Time) {
	for n.callerServer.OpenConnections()+n.backends.Deliveries.Count() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
		n.callerServer.CloseIdle()
	}
}

// abortCalls ends the calls that are still in progress, and the responses that are still
// being streamed, so that each of them has a line in the log that says what is known about it.
func (n *Node) abortCalls() {
	inProgress := n.callerServer.RequestsInProgress()
	if inProgress == 0 {
		return
	}
	n.log.Emit(events.StopCutOff, "in_flight", inProgress)
	n.callerServer.Abort(gateway.ErrInstanceEnded)
	// The connections are counted, not the calls, because the replies must be written too.
	for end := time.Now().Add(abortTimeout); n.callerServer.OpenConnections() > 0 && time.Now().Before(end); {
		time.Sleep(abortPollInterval)
	}
}
