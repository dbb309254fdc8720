package facts

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// refreshWait is how long a request waits for a reading of the store. A healthy store
	// answers in milliseconds.
	refreshWait = 60 * time.Millisecond
	// domainsWait is how long a request waits for a reading of the domains taken out, which
	// nothing but the store tells.
	domainsWait = 300 * time.Millisecond
)

// OnDemand reads the store for requests that find the facts, or a part of them, too old. It is
// safe for concurrent use: requests share a reading and wait for it on a channel.
type OnDemand struct {
	readStore func(context.Context) error
	// wait is how long a request waits for a reading.
	wait    time.Duration
	backoff Backoff
	// onRead is called after each reading that succeeded.
	onRead func()
	latest atomic.Pointer[sharedReading]
}

// NewOnDemand returns an OnDemand that reads with reader and then calls onRead, and that
// waits after a reading that failed.
func NewOnDemand(reader *Reader, backoff Backoff, onRead func()) *OnDemand {
	return &OnDemand{readStore: reader.ReadSlowly, wait: refreshWait, backoff: backoff, onRead: onRead}
}

// NewDomainsOnDemand returns an OnDemand that reads only the domains taken out.
func NewDomainsOnDemand(reader *Reader, backoff Backoff) *OnDemand {
	return &OnDemand{readStore: reader.ReadDomainsOut, wait: domainsWait, backoff: backoff, onRead: func() {}}
}

// Refresh reads the store. It returns false if that takes too long for a request, in which
// case the reading goes on, and if the last one has just failed.
func (o *OnDemand) Refresh(ctx context.Context) bool {
	now := time.Now()
	last := o.latest.Load()
	if last == nil || last.isOver(now, o.backoff.IsAlone()) {
		next := &sharedReading{beganAt: now, done: make(chan struct{})}
		if o.latest.CompareAndSwap(last, next) {
			go o.read(next)
		}
		last = o.latest.Load()
	}
	wait := time.NewTimer(last.beganAt.Add(o.wait).Sub(now))
	defer wait.Stop()
	select {
	case <-last.done:
		return last.err == nil
	case <-wait.C:
	case <-ctx.Done():
	}
	return false
}

func (o *OnDemand) read(r *sharedReading) {
	r.err = o.readStore(context.Background()) // for all requests, whichever of them ends
	endedAt := time.Now()
	r.usableUntil, r.usableAloneUntil = endedAt, endedAt
	if r.err == nil {
		o.onRead()
	} else {
		r.usableUntil, r.usableAloneUntil = endedAt.Add(o.backoff.InFleet()), endedAt.Add(o.backoff.Alone())
	}
	close(r.done)
}
