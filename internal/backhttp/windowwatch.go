package backhttp

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

var errPeerGone = errors.New("the kernel of the server acknowledges nothing more of the request")

// windowWatch keeps the kernel from giving up a request whose server does not read at the
// moment. TCP_USER_TIMEOUT ends a connection whose peer is gone, but Linux also counts the time
// for which the window of a living peer is closed, in some cases from an earlier upload on. So
// the watch takes the timeout off once it finds the window closed, and from then on gives up the
// connection itself if the server's kernel does not answer.
type windowWatch struct {
	conn *conn
	// timer starts the watch, which most requests do not need: they are delivered before.
	timer    *time.Timer
	stopping chan struct{}
	ended    chan struct{}
	// tookOver is set once the timeout of the kernel has been taken off.
	tookOver atomic.Bool
}

func startWindowWatch(c *conn) *windowWatch {
	w := &windowWatch{conn: c, stopping: make(chan struct{}), ended: make(chan struct{})}
	w.timer = time.AfterFunc(windowInterval, w.run)
	return w
}

// stop ends the watch, waits for that, and reports whether it had taken over. Then the kernel
// has no timeout for the connection, which must not carry another request.
func (w *windowWatch) stop() bool {
	if w.timer.Stop() {
		return false
	}
	close(w.stopping)
	<-w.ended
	return w.tookOver.Load()
}

func (w *windowWatch) run() {
	defer close(w.ended)
	ticker := time.NewTicker(windowInterval)
	defer ticker.Stop()
	for !w.isDone() {
		w.look(sockopt.DeliveryOf(w.conn.net))
		select {
		case <-w.stopping:
			return
		case <-w.conn.aborted:
			return
		case <-ticker.C:
		}
	}
}

// isDone reports whether there is nothing left to deliver.
func (w *windowWatch) isDone() bool {
	return w.conn.writtenWhole.Load() && sockopt.Unacknowledged(w.conn.net) == 0
}

func (w *windowWatch) look(d sockopt.Delivery) {
	switch {
	case w.tookOver.Load():
		if isPeerGone(d) {
			w.conn.abortBecause(errPeerGone)
		}
	case d.WindowClosed() && sockopt.ClearUserTimeout(w.conn.net) == nil:
		w.tookOver.Store(true)
	}
}

// isPeerGone reports whether the kernel at the other end has stopped answering: it has not
// acknowledged what was sent again unackedTimeout after its last acknowledgement, or probes.
func isPeerGone(d sockopt.Delivery) bool {
	unanswered := d.InFlight > 0 && d.SinceSent > ackTimeout && d.SinceAck > d.SinceSent+unackedTimeout
	return unanswered || d.UnansweredProbes >= lostProbes
}
