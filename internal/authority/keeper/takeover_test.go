package keeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// takeoverLimit is the stated target: a key is served again within 1 s.
const takeoverLimit = time.Second

// Guards against an order that a paused holder sends after its tenure was
// taken over, and against a paused holder that goes on when it resumes.
func TestPausedHolder(t *testing.T) {
	inCluster(t, 6, func(is *is.I, c *cluster) {
		paused := c.holder()
		inHand := paused.source().Tenure()
		paused.pause()
		c.watch(2 * time.Second)
		is.True(c.unserved <= takeoverLimit)
		next := c.holder()
		is.True(next != paused)
		is.True(!inHand.ValidAt(time.Now(), 0))
		is.True(!paused.source().Tenure().ValidAt(time.Now(), 0))
		is.True(inHand.Token.Less(next.source().Tenure().Token))
		paused.resume()
		c.watch(2 * time.Second)
		is.Equal(paused.source().Tenure(), nil)
		is.Equal(c.unserved, time.Duration(0))
	})
}

// Guards against a takeover that needs the store, and against losing the shard
// when the store goes down or returns.
func TestLossOfHolderAndStore(t *testing.T) {
	cases := []struct {
		name             string
		before, at, then bool
	}{
		{"down before and after", true, true, true},
		{"down before, back at the loss", true, false, false},
		{"down from the loss on", false, true, true},
		{"down after the takeover", false, false, true},
	}
	for _, d := range cases {
		t.Run(d.name, func(t *testing.T) {
			inCluster(t, 6, func(is *is.I, c *cluster) {
				c.store.down.Store(d.before)
				time.Sleep(5 * time.Second)
				c.store.down.Store(d.at)
				c.holder().kill()
				c.announce()
				c.watch(1500 * time.Millisecond)
				is.True(c.unserved <= takeoverLimit)
				c.store.down.Store(d.then)
				c.watch(5 * time.Second)
				is.Equal(c.unserved, time.Duration(0))
				c.store.down.Store(false)
				c.watch(30 * time.Second)
				is.Equal(c.unserved, time.Duration(0))
			})
		})
	}
}

// Guards against a second loss that finds the takeover of the first unfinished.
func TestTwoHoldersLostInTurn(t *testing.T) {
	for pause := time.Duration(0); pause <= time.Second; pause += 50 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			inCluster(t, 5, func(is *is.I, c *cluster) {
				c.holder().kill()
				for len(c.holders(testShard)) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(pause)
				c.holder().kill()
				c.watch(1500 * time.Millisecond)
				is.True(c.unserved <= takeoverLimit)
			})
		})
	}
}

// Guards against a failure domain that holds a majority of the witnesses, and
// against a witness set that is not restored after its loss.
func TestFailureDomainLost(t *testing.T) {
	inCluster(t, 12, func(is *is.I, c *cluster) {
		domain := c.holder().member.Domain
		for _, p := range c.processes {
			if p.member.Domain == domain {
				p.kill()
			}
		}
		c.announce()
		c.watch(3 * time.Second)
		is.True(c.unserved <= takeoverLimit)
		c.watch(5 * time.Second)
		is.Equal(len(c.config().Witnesses), 5)
		for _, w := range c.witnesses() {
			is.True(w.member.Domain != domain)
		}
	})
}
