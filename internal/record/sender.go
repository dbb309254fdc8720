package record

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// mirrorTimeout is how long a mirror may take before it is dropped from the set.
// A round trip between failure domains takes 3 ms; 50 ms covers a short pause.
const mirrorTimeout = 50 * time.Millisecond

// lastMirrorTimeout is how long the last member of the set may take. Dropping it
// refuses all requests, so it gets the time of a takeover.
const lastMirrorTimeout = 500 * time.Millisecond

// sender copies records to one mirror. One message at a time is on its way; it
// carries everything that arrived while the previous one was.
type sender struct {
	to   authority.Instance
	copy func(ctx context.Context, to authority.Instance, records []Record) error
	// onFailure is called when the mirror has not acknowledged a message.
	onFailure func(*sender, error)
	queue     chan *pendingCopy
	stop      chan stopRequest
	stopped   chan struct{}
	// retry lets a sender that has failed send once more; patient reports that it
	// has been used and that the longer timeout applies until the next success.
	retry           chan struct{}
	extendedTimeout atomic.Bool
	// stopError settles what arrives after the stop; it is set before stopped is closed.
	stopError error
}

func newSender(to authority.Instance) *sender {
	return &sender{
		to:      to,
		queue:   make(chan *pendingCopy),
		stop:    make(chan stopRequest, 1),
		stopped: make(chan struct{}),
		retry:   make(chan struct{}, 1),
	}
}

// retryOnce lets a sender that has failed send once more with more time. It
// returns false when it has already done so since the last success.
func (s *sender) retryOnce() bool {
	if !s.extendedTimeout.CompareAndSwap(false, true) {
		return false
	}
	s.retry <- struct{}{}
	return true
}

// timeout returns how long the next message may take.
func (s *sender) timeout() time.Duration {
	if s.extendedTimeout.Load() {
		return lastMirrorTimeout
	}
	return mirrorTimeout
}

// send queues a record. The inbox is unbuffered, so a record is either taken by
// the running sender or settled here once it has stopped.
func (s *sender) send(p *pendingCopy) {
	select {
	case s.queue <- p:
	case <-s.stopped:
		p.settle(s.stopError)
	}
}

func (s *sender) run() {
	var batch, flight []*pendingCopy
	var result chan error
	broken := false
	for {
		if len(batch) > 0 && result == nil && !broken {
			flight, batch = batch, nil
			result = s.startCopy(flight)
		}
		select {
		case p := <-s.queue:
			batch = append(batch, p)
		case err := <-result:
			result = nil
			if err != nil {
				broken = true
				batch = append(flight, batch...)
				s.onFailure(s, err)
				continue
			}
			s.extendedTimeout.Store(false)
			settleAll(flight, nil)
		case <-s.retry:
			broken = false
		case order := <-s.stop:
			s.stopError = order.err
			close(s.stopped)
			if result != nil {
				settleAll(flight, order.err)
			}
			settleAll(batch, order.err)
			s.finish(batch, result, order.flush && !broken)
			return
		}
	}
}

// finish waits for the message that is on its way and, for a flush, sends the rest.
func (s *sender) finish(batch []*pendingCopy, result chan error, flush bool) {
	if result != nil {
		flush = <-result == nil && flush
	}
	if flush && len(batch) > 0 {
		<-s.startCopy(batch)
	}
}

// startCopy sends one message and returns the channel that gets its result.
func (s *sender) startCopy(flight []*pendingCopy) chan error {
	records := make([]Record, len(flight))
	for i, p := range flight {
		records[i] = p.record
	}
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout())
		defer cancel()
		err := s.copy(ctx, s.to, records)
		if err != nil && ctx.Err() != nil {
			err = errors.Wrap(errMirrorSlow, err.Error())
		}
		result <- err
	}()
	return result
}

func settleAll(all []*pendingCopy, err error) {
	for _, p := range all {
		p.settle(err)
	}
}
