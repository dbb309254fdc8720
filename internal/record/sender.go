package record

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// mirrorTimeout is the time after which a mirror that has not acknowledged a message is
// removed from the set. A round trip between failure domains takes 3 ms; 50 ms covers
// a short pause.
const mirrorTimeout = 50 * time.Millisecond

// lastMirrorTimeout is the same for the last member of the set. Without it no request can
// be dispatched until another mirror joins, so it gets as long as a takeover takes.
const lastMirrorTimeout = 500 * time.Millisecond

// sender copies records to one mirror. One message at a time is in flight; the next one
// carries all records that were queued meanwhile.
type sender struct {
	to   authority.Instance
	copy func(ctx context.Context, to authority.Instance, records []Record) error
	// onFailure is called when the mirror has not acknowledged a message. The sender is
	// then suspended until retry or stop.
	onFailure func(*sender, error)
	queue     chan *pendingCopy
	stop      chan stopRequest
	stopped   chan struct{}
	// retry resumes a suspended sender. extendedTimeout reports that it has been used
	// and that lastMirrorTimeout applies until the next success.
	retry           chan struct{}
	extendedTimeout atomic.Bool
	// stopError is the result of copies sent after the stop; it is set before stopped is closed.
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

// retryOnce resumes a suspended sender with lastMirrorTimeout. It returns false when it
// has already done so since the last success.
func (s *sender) retryOnce() bool {
	if !s.extendedTimeout.CompareAndSwap(false, true) {
		return false
	}
	s.retry <- struct{}{}
	return true
}

func (s *sender) timeout() time.Duration {
	if s.extendedTimeout.Load() {
		return lastMirrorTimeout
	}
	return mirrorTimeout
}

// send queues a record. The queue is unbuffered, so a record is either received by the
// running sender or settled here once the sender has stopped.
func (s *sender) send(p *pendingCopy) {
	select {
	case s.queue <- p:
	case <-s.stopped:
		p.settle(s.stopError)
	}
}

func (s *sender) run() {
	var batch, inFlight []*pendingCopy
	var result chan error
	suspended := false
	for {
		if len(batch) > 0 && result == nil && !suspended {
			inFlight, batch = batch, nil
			result = s.startCopy(inFlight)
		}
		select {
		case p := <-s.queue:
			batch = append(batch, p)
		case err := <-result:
			result = nil
			if err != nil {
				suspended = true
				batch = append(inFlight, batch...)
				s.onFailure(s, err)
				continue
			}
			s.extendedTimeout.Store(false)
			settleAll(inFlight, nil)
		case <-s.retry:
			suspended = false
		case request := <-s.stop:
			s.stopError = request.err
			close(s.stopped)
			if result != nil {
				settleAll(inFlight, request.err)
			}
			settleAll(batch, request.err)
			s.finish(batch, result, request.flush && !suspended)
			return
		}
	}
}

// finish waits for the message in flight and, for a flush, sends the remaining records.
func (s *sender) finish(batch []*pendingCopy, result chan error, flush bool) {
	if result != nil {
		flush = <-result == nil && flush
	}
	if flush && len(batch) > 0 {
		<-s.startCopy(batch)
	}
}

// startCopy sends one message and returns the channel that receives its result.
func (s *sender) startCopy(inFlight []*pendingCopy) chan error {
	records := make([]Record, 0, len(inFlight))
	for _, p := range inFlight {
		if !p.mark {
			records = append(records, p.record)
		}
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
