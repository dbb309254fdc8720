package publish

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// purpose says why a call was made.
type purpose uint8

const (
	forExchange  purpose = iota // regular exchange
	forPush                     // news
	forFetch                    // settings that a peer announced
	forFollowUp                 // what a peer turned out to lack
	forStart                    // first settings of a starting instance
	forStoreRead                // first settings from the store
)

// call sends a request without waiting for the reply.
func (l *loop) call(ctx context.Context, purpose purpose, address string, r exchange.Request) {
	l.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := l.p.config.PeerClient.Exchange(callCtx, address, r)
		cancel()
		select {
		case l.p.results <- result{purpose, address, reply, err}:
		case <-ctx.Done():
		}
	})
}

// receive takes over what a reply brings.
func (l *loop) receive(ctx context.Context, r result) {
	if r.purpose == forStoreRead {
		l.storeRead(ctx, r)
		return
	}
	l.ended(r)
	if r.err != nil {
		l.p.config.Events.Emit(events.ExchangeFailed, "peer", r.address, "error", r.err.Error())
		if l.p.config.Observer != nil {
			l.p.config.Observer.CallFailed(r.address)
		}
	} else {
		l.heard(r.reply, r.address)
		l.learn(ctx, r.reply.Shards, r.reply.Quarantine)
		l.receiveSettings(ctx, r)
	}
	l.startEnded(ctx, r)
	l.fetchNext(ctx)
	l.flush(ctx)
}

// ended frees what the call occupied.
func (l *loop) ended(r result) {
	switch r.purpose {
	case forPush:
		l.pushes--
	case forFetch:
		l.fetch.running = false
		if l.fetch.address == r.address {
			// Whatever this peer answered, asking it again at once helps nothing.
			// The next exchange names the version again if it is still lacking.
			l.fetch.version = 0
		}
	}
}

func (l *loop) receiveSettings(ctx context.Context, r result) {
	if r.reply.Settings != nil {
		l.install(ctx, *r.reply.Settings, r.reply.From.Name)
	}
	if r.purpose == forFollowUp {
		return
	}
	if again, ok := l.state.FollowUp(r.reply, time.Now()); ok {
		l.call(ctx, forFollowUp, r.address, again)
	}
}

// announce notes that a peer has a version and fetches it unless a transfer is under way.
func (l *loop) announce(ctx context.Context, address string, version uint64) {
	if !l.state.NeedsVersion(version) || version <= l.fetch.version {
		return
	}
	l.fetch.address, l.fetch.version = address, version
	l.fetchNext(ctx)
}

func (l *loop) fetchNext(ctx context.Context) {
	if l.fetch.running || !l.state.NeedsVersion(l.fetch.version) {
		return
	}
	l.fetch.running = true
	l.call(ctx, forFetch, l.fetch.address, l.state.NewRequest(time.Now()))
}

// passOn queues news for the next push.
func (l *loop) passOn(ctx context.Context, news exchange.Update) {
	l.pending = l.pending.Merge(news)
	l.flush(ctx)
}

// flush pushes what is pending. News that comes up while a push is under way
// waits for its end, so that a burst makes few calls.
func (l *loop) flush(ctx context.Context) {
	if l.pushes > 0 || l.pending.IsEmpty() {
		return
	}
	request := l.state.NewPush(l.pending, time.Now())
	l.pending = exchange.Update{}
	for _, peer := range exchange.PushTargets(l.peers(), l.random) {
		l.pushes++
		l.call(ctx, forPush, peer.Address, request)
	}
}

func (l *loop) heard(r exchange.Reply, address string) {
	if l.p.config.Observer != nil {
		l.p.config.Observer.MessageReceived(r.From, r.Domain, address, r.Leaving)
	}
}
