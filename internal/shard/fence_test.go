package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// A server that freezes past its grant and returns handles the messages that
// waited in its socket. Guards against a grant that a late message revives while
// the standby owns the range; the world's check then finds two owners.
func TestFrozenServerReturns(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 650 * time.Millisecond, 4 * time.Second} {
		inWorld(t, 9, func(t *testing.T, w *world) {
			w.settle()
			h := w.hashes[12]
			owner := w.ownerOf(h)
			w.update(func() { owner.setFrozen(true) })
			time.Sleep(pause)
			w.update(func() { owner.setFrozen(false) })
			time.Sleep(2 * time.Second)
			is.New(t).True(w.ownerOf(h) != nil)
		})
	}
}

// Guards against a renewal that is delivered after its expiry, or after a later
// list that took the range away.
func TestLateRenewal(t *testing.T) {
	for _, late := range []time.Duration{160 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		inWorld(t, 9, func(t *testing.T, w *world) {
			w.settle()
			h := w.hashes[12]
			owner := w.ownerOf(h)
			w.update(func() { owner.oneWay = late })
			time.Sleep(170 * time.Millisecond) // one renewal leaves with the delay
			w.update(func() { owner.oneWay = 1500 * time.Microsecond })
			time.Sleep(20 * time.Millisecond)
			w.setOut(owner.world.domainOf(owner.name), true) // the range moves away meanwhile
			time.Sleep(2 * time.Second)
			is.New(t).True(w.ownerOf(h) != owner)
		})
	}
}

// Orders of a holder that was paused past its tenure arrive after its successor
// has granted the ranges. Guards against grants that outlive the tenure, at
// servers that check tokens and at servers that do not.
func TestOrdersOfDeposedHolder(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		inWorld(t, 9, func(t *testing.T, w *world) {
			w.settle()
			next := w.addHolder()
			lost := w.ownerOf(w.hashes[3])
			w.update(func() {
				for _, s := range w.servers {
					s.oneWay = late
				}
			})
			time.Sleep(renewEvery)
			w.update(func() {
				for _, s := range w.servers {
					s.oneWay = 1500 * time.Microsecond
				}
				lost.setFrozen(true)
			})
			w.succeed(next)
			time.Sleep(200 * time.Millisecond)
			w.update(func() { lost.setFrozen(false) })
			time.Sleep(2 * time.Second)
			is.New(t).True(w.ownerOf(w.hashes[3]) != nil)
		})
	}
}

// A holder that resumes with an order in hand must not send it. Guards against a
// check of the tenure that is older than the send.
func TestSenderChecksTenureBeforeSend(t *testing.T) {
	for _, test := range []struct {
		name   string
		stall  time.Duration
		margin time.Duration
		unsent bool
	}{
		{"no pause", 0, 0, false},
		{"paused past the tenure", 600 * time.Millisecond, 0, true},
		{"paused into the delivery margin", 450 * time.Millisecond, 200 * time.Millisecond, true},
		{"same pause, server checks tokens", 450 * time.Millisecond, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3)
			token := authority.Token{Epoch: 1, Ballot: 99}
			h := &fakeHolder{stall: test.stall}
			h.tenure = &authority.Tenure{Token: token, Since: time.Now(), End: time.Now().Add(tenureSpan)}
			target := w.newTarget(w.settings[0])
			s := &sender{link: &link{target: target}, tenures: h}
			c := call{margin: test.margin, timeout: time.Second}
			c.grant.Order.Token = token
			is.New(t).Equal(s.make(context.Background(), c).unsent, test.unsent) // test.name
		})
	}
}
