package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// A server that is frozen for longer than its grant handles the messages that waited in
// its socket when it resumes. Guards against a late message that revives the grant
// while the standby owns the range; checkSingleOwner then finds two owners.
func TestFrozenServerReturns(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 650 * time.Millisecond, 4 * time.Second} {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			tc.waitUntilServed()
			h := tc.sampledHashes[12]
			owner := tc.ownerOf(h)
			tc.withLock(func() { owner.setFrozen(true) })
			time.Sleep(pause)
			tc.withLock(func() { owner.setFrozen(false) })
			time.Sleep(2 * time.Second)
			is.New(t).True(tc.ownerOf(h) != nil)
		})
	}
}

// Guards against a renewal that takes effect although it is delivered after its expiry,
// or after a later grant that no longer has the range.
func TestLateRenewal(t *testing.T) {
	for _, delay := range []time.Duration{160 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			tc.waitUntilServed()
			h := tc.sampledHashes[12]
			owner := tc.ownerOf(h)
			tc.withLock(func() { owner.oneWayDelay = delay })
			time.Sleep(170 * time.Millisecond) // one renewal is sent with the delay
			tc.withLock(func() { owner.oneWayDelay = 1500 * time.Microsecond })
			time.Sleep(20 * time.Millisecond)
			tc.setOutOfService(owner.cluster.domainOf(owner.name), true) // the range moves away meanwhile
			time.Sleep(2 * time.Second)
			is.New(t).True(tc.ownerOf(h) != owner)
		})
	}
}

// Orders of a holder that was paused for longer than its tenure arrive after its
// successor has granted the ranges. Guards against grants that outlive the tenure, at
// servers that check tokens and at servers that do not.
func TestOrdersOfSupersededHolder(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			tc.waitUntilServed()
			next := tc.addInstance()
			lost := tc.ownerOf(tc.sampledHashes[3])
			tc.withLock(func() {
				for _, s := range tc.servers {
					s.oneWayDelay = delay
				}
			})
			time.Sleep(renewInterval)
			tc.withLock(func() {
				for _, s := range tc.servers {
					s.oneWayDelay = 1500 * time.Microsecond
				}
				lost.setFrozen(true)
			})
			tc.replaceHolder(next)
			time.Sleep(200 * time.Millisecond)
			tc.withLock(func() { lost.setFrozen(false) })
			time.Sleep(2 * time.Second)
			is.New(t).True(tc.ownerOf(tc.sampledHashes[3]) != nil)
		})
	}
}

// A holder that resumes after a pause must not send an order that it has prepared.
// Guards against a check of the tenure that is older than the send.
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
			tc := newTestCluster(3)
			token := authority.Token{Epoch: 1, Ballot: 99}
			instance := &fakeInstance{tenureDelay: test.stall}
			instance.tenure = &authority.Tenure{Token: token, Since: time.Now(), End: time.Now().Add(tenureDuration)}
			target := tc.newTarget(tc.settings[0])
			s := &sender{server: &managedServer{target: target}, tenures: instance}
			c := call{margin: test.margin, timeout: time.Second}
			c.grant.Order.Token = token
			is.New(t).Equal(s.send(context.Background(), c).unsent, test.unsent) // test.name
		})
	}
}
