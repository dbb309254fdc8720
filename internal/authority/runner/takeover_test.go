package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// takeoverLimit is the target for a takeover: a key is served again within 1 s.
const takeoverLimit = time.Second

// Guards against an order that a paused holder sends under its earlier tenure,
// and against a holder that continues when it resumes after a takeover.
func TestPausedHolder(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		paused := c.holder()
		earlierTenure := paused.source().Tenure()
		paused.pause()
		c.observe(2 * time.Second)
		is.True(c.longestGap <= takeoverLimit)
		next := c.holder()
		is.True(next != paused)
		is.True(!earlierTenure.ValidAt(time.Now(), 0))
		is.True(!paused.source().Tenure().ValidAt(time.Now(), 0))
		is.True(earlierTenure.Token.Less(next.source().Tenure().Token))
		paused.resume()
		c.observe(2 * time.Second)
		is.Equal(paused.source().Tenure(), nil)
		is.Equal(c.longestGap, time.Duration(0))
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
			runCluster(t, 6, func(is *is.I, c *cluster) {
				c.store.down.Store(d.before)
				time.Sleep(5 * time.Second)
				c.store.down.Store(d.at)
				c.holder().kill()
				c.announceInstances()
				c.observe(1500 * time.Millisecond)
				is.True(c.longestGap <= takeoverLimit)
				c.store.down.Store(d.then)
				c.observe(5 * time.Second)
				is.Equal(c.longestGap, time.Duration(0))
				c.store.down.Store(false)
				c.observe(30 * time.Second)
				is.Equal(c.longestGap, time.Duration(0))
			})
		})
	}
}

// Guards against the loss of the next holder before the first takeover is
// complete.
func TestTwoHoldersLostInTurn(t *testing.T) {
	for pause := time.Duration(0); pause <= time.Second; pause += 50 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			runCluster(t, 5, func(is *is.I, c *cluster) {
				c.holder().kill()
				for len(c.holders(testShard)) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(pause)
				c.holder().kill()
				c.observe(1500 * time.Millisecond)
				is.True(c.longestGap <= takeoverLimit)
			})
		})
	}
}

// Guards against a failure domain that contains a majority of the witnesses,
// and against a witness set that is not replenished after the loss.
func TestFailureDomainLost(t *testing.T) {
	runCluster(t, 12, func(is *is.I, c *cluster) {
		domain := c.holder().member.Domain
		for _, p := range c.processes {
			if p.member.Domain == domain {
				p.kill()
			}
		}
		c.announceInstances()
		c.observe(3 * time.Second)
		is.True(c.longestGap <= takeoverLimit)
		c.observe(5 * time.Second)
		is.Equal(len(c.config().Witnesses), 5)
		for _, w := range c.witnesses() {
			is.True(w.member.Domain != domain)
		}
	})
}
