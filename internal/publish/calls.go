package publish

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// purpose is the reason for a call. It decides how the result is handled.
type purpose uint8

const (
	forExchange  purpose = iota // regular exchange
	forPush                     // push of an update
	forFetch                    // fetch of settings that a peer announced
	forFollowUp                 // entries that the reply showed to be missing at the peer
	forStartup                  // first settings of a starting instance, from a peer
	forStoreRead                // first settings of a starting instance, from the store
)

// call sends a request in a new goroutine; the event loop receives the result.
func (l *eventLoop) call(ctx context.Context, purpose purpose, address string, r exchange.Request) {
	l.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := l.publisher.config.PeerClient.Exchange(callCtx, address, r)
		cancel()
		select {
		case l.publisher.results <- callResult{purpose, address, reply, err}:
		case <-ctx.Done():
		}
	})
}

// handleResult merges the content of a reply into the state and starts the calls that follow
// from it.
func (l *eventLoop) handleResult(ctx context.Context, r callResult) {
	if r.purpose == forStoreRead {
		l.handleStoreRead(ctx, r)
		return
	}
	l.finishCall(r)
	if r.err != nil {
		l.publisher.config.Events.Emit(events.ExchangeFailed, "peer", r.address, "error", r.err.Error())
		if l.publisher.config.Observer != nil {
			l.publisher.config.Observer.CallFailed(r.address)
		}
	} else {
		l.reportContact(r.reply, r.address)
		l.merge(ctx, r.reply.Shards, r.reply.Quarantine)
		l.handleReply(ctx, r)
	}
	l.countStartupReply(ctx, r)
	l.startFetch(ctx)
	l.pushPending(ctx)
}

// finishCall records that a push or a fetch has ended.
func (l *eventLoop) finishCall(r callResult) {
	switch r.purpose {
	case forPush:
		l.pushesInFlight--
	case forFetch:
		l.fetch.running = false
		if l.fetch.address == r.address {
			// Asking this peer again at once would give the same result. The next exchange
			// announces the version again if it is still missing here.
			l.fetch.version = 0
		}
	}
}

// handleReply installs the settings that a reply carries, and sends the peer the entries that
// it is missing.
func (l *eventLoop) handleReply(ctx context.Context, r callResult) {
	if r.reply.Settings != nil {
		l.install(ctx, *r.reply.Settings, r.reply.From.Name)
	}
	if r.purpose == forFollowUp {
		return
	}
	if followUp, ok := l.state.FollowUp(r.reply, time.Now()); ok {
		l.call(ctx, forFollowUp, r.address, followUp)
	}
}

// noteAnnouncedVersion records that a peer has a version and fetches it unless another fetch
// is in progress.
func (l *eventLoop) noteAnnouncedVersion(ctx context.Context, address string, version uint64) {
	if !l.state.NeedsVersion(version) || version <= l.fetch.version {
		return
	}
	l.fetch.address, l.fetch.version = address, version
	l.startFetch(ctx)
}

func (l *eventLoop) startFetch(ctx context.Context) {
	if l.fetch.running || !l.state.NeedsVersion(l.fetch.version) {
		return
	}
	l.fetch.running = true
	l.call(ctx, forFetch, l.fetch.address, l.state.NewRequest(time.Now()))
}

// queueUpdate adds an update to the next push.
func (l *eventLoop) queueUpdate(ctx context.Context, update exchange.Update) {
	l.pendingUpdate = l.pendingUpdate.Merge(update)
	l.pushPending(ctx)
}

// pushPending pushes the pending update. Updates that arrive while a push is in progress wait
// until it has ended, so that a burst of them is combined into few calls.
func (l *eventLoop) pushPending(ctx context.Context) {
	if l.pushesInFlight > 0 || l.pendingUpdate.IsEmpty() {
		return
	}
	request := l.state.NewPush(l.pendingUpdate, time.Now())
	l.pendingUpdate = exchange.Update{}
	for _, peer := range exchange.PushTargets(l.peers(), l.random) {
		l.pushesInFlight++
		l.call(ctx, forPush, peer.Address, request)
	}
}

func (l *eventLoop) reportContact(r exchange.Reply, address string) {
	if l.publisher.config.Observer != nil {
		l.publisher.config.Observer.MessageReceived(r.From, r.Domain, address, r.Leaving)
	}
}
