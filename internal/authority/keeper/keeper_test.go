package keeper

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// takeoverLimit is the stated target: a key is served again within 1 s.
const takeoverLimit = time.Second

// Guards against an order that a paused holder sends after its tenure was
// taken over, and against a paused holder that goes on when it resumes.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b", "c")
		paused := c.holder()
		inHand := paused.keeper.Source(testShard).Tenure()
		paused.pause()
		c.watch(2 * time.Second)
		is.True(c.unserved <= takeoverLimit)
		next := c.holder()
		is.True(next != paused)
		is.True(!inHand.ValidAt(time.Now(), 0))
		is.True(!paused.keeper.Source(testShard).Tenure().ValidAt(time.Now(), 0))
		is.True(inHand.Token.Less(next.keeper.Source(testShard).Tenure().Token))
		paused.resume()
		c.watch(2 * time.Second)
		is.Equal(paused.keeper.Source(testShard).Tenure(), nil)
		is.Equal(c.overlaps, 0)
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
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 6, "a", "b", "c")
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
				is.Equal(c.overlaps, 0)
			})
		})
	}
}

// Guards against two holders, or a long gap, when instances are cut off from each
// other while all reach the store.
func TestPartition(t *testing.T) {
	cases := []struct {
		name string
		// minority is how many witnesses, the holder first, are cut off.
		minority int
	}{
		{"the holder alone", 1},
		{"the holder and a witness", 2},
	}
	for _, d := range cases {
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 5, "a", "b", "c")
				old := c.holder()
				side := map[*process]bool{old: true}
				for _, w := range c.witnesses() {
					if len(side) < d.minority {
						side[w] = true
					}
				}
				c.isolate(func(a, b *process) bool { return side[a] != side[b] })
				c.watch(20 * time.Second)
				is.True(c.unserved <= takeoverLimit)
				is.True(!side[c.holder()])
				c.isolate(nil)
				c.watch(20 * time.Second)
				is.Equal(c.unserved, time.Duration(0))
				is.Equal(c.overlaps, 0)
			})
		})
	}
}

// Guards against a holder that is disturbed by a partition between two of its
// witnesses, none of which is the holder.
func TestPartitionBetweenWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b", "c")
		w := c.witnesses()
		c.isolate(func(a, b *process) bool { return a == w[1] && b == w[2] || a == w[2] && b == w[1] })
		c.watch(10 * time.Second)
		is.Equal(c.unserved, time.Duration(0))
		is.Equal(c.overlaps, 0)
	})
}

// Guards against a shard that stays unserved although the loss of its majority
// is proven, and against a takeover without proof.
func TestMajorityOfWitnessesLost(t *testing.T) {
	start := func(t *testing.T) (c *cluster, lost []*process) {
		c = newCluster(t, 9, "a", "b", "c")
		return c, c.witnesses()[:3]
	}
	t.Run("proven", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, lost := start(t)
			for _, w := range lost {
				w.kill()
			}
			c.announce()
			c.watch(10 * time.Second)
			is.Equal(len(c.holders(testShard)), 1)
			is.Equal(len(c.config().Witnesses), 5)
			is.Equal(c.overlaps, 0)
		})
	})
	t.Run("silent, then retired", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, lost := start(t)
			var names []string
			for _, w := range lost {
				names = append(names, w.member.Instance.Name)
				w.kill()
			}
			c.isolate(func(_, b *process) bool { return slices.Contains(lost, b) })
			c.announce()
			c.watch(30 * time.Second)
			is.Equal(len(c.holders(testShard)), 0)
			for _, p := range c.processes {
				if !p.gone.Load() {
					is.NoErr(p.keeper.SetRetired(t.Context(), names))
				}
			}
			c.watch(10 * time.Second)
			is.Equal(len(c.holders(testShard)), 1)
			is.Equal(c.overlaps, 0)
		})
	})
	t.Run("silent, then back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, lost := start(t)
			for _, w := range lost {
				w.pause()
			}
			c.watch(10 * time.Second)
			is.Equal(len(c.holders(testShard)), 0)
			for _, w := range lost {
				w.resume()
			}
			c.watch(3 * time.Second)
			is.Equal(len(c.holders(testShard)), 1)
			is.Equal(c.overlaps, 0)
		})
	})
}

// Guards against a second loss that finds the takeover of the first unfinished.
func TestTwoHoldersLostInTurn(t *testing.T) {
	for pause := time.Duration(0); pause <= time.Second; pause += 50 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 5, "a", "b", "c")
				c.holder().kill()
				for len(c.holders(testShard)) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(pause)
				c.holder().kill()
				c.watch(1500 * time.Millisecond)
				is.True(c.unserved <= takeoverLimit)
				is.Equal(c.overlaps, 0)
			})
		})
	}
}

// Guards against a failure domain that holds a majority of the witnesses, and
// against a witness set that is not restored after its loss.
func TestFailureDomainLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 12, "a", "b", "c")
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
		is.Equal(c.overlaps, 0)
	})
}

// Guards against a shard that nobody serves after all instances were replaced,
// when no process remembers a promise or is named in the record.
func TestAllInstancesReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 12, "a", "b", "c")
		before := c.holder().keeper.Source(testShard).Tenure().Token
		for _, p := range slices.Clone(c.processes) {
			p.kill()
			c.start(p.member.Instance.Name, "2", p.member.Domain)
		}
		c.announce()
		c.watch(10 * time.Second)
		is.True(before.Less(c.holder().keeper.Source(testShard).Tenure().Token))
		is.Equal(c.overlaps, 0)
	})
}

// Guards against gaps while instances are restarted one after the other, and
// against a preferred holder that never gets its shard back.
func TestRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b", "c")
		preferred := c.holder().member.Instance.Name
		for _, p := range slices.Clone(c.processes) {
			is.NoErr(p.keeper.Leave(t.Context()))
			_ = p.keeper.Release(t.Context(), testShard)
			time.Sleep(100 * time.Millisecond)
			p.kill()
			c.start(p.member.Instance.Name, "2", p.member.Domain)
			c.announce()
			c.watch(10 * time.Second)
			is.True(c.unserved <= 50*time.Millisecond) // rank delay and round trips
		}
		c.followAdvice()
		c.watch(time.Minute)
		is.Equal(c.holder().member.Instance.Name, preferred)
		is.True(c.unserved <= 50*time.Millisecond)
		is.Equal(c.overlaps, 0)
	})
}

// Guards against a partition between regions that stops shards within a region,
// and against holders on both sides of it.
func TestRegionsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 12, "a", "b", "c", "x", "y", "z")
		south := map[string]bool{"x": true, "y": true, "z": true}
		other := key.ShardID{Service: "rail", Index: 0}
		c.shards = append(c.shards, authority.Description{ID: other, Domains: []string{"x", "y", "z"}})
		for _, p := range c.processes {
			is.NoErr(p.keeper.SetShards(t.Context(), c.shards))
		}
		time.Sleep(3 * time.Second)
		c.isolate(func(a, b *process) bool { return south[a.member.Domain] != south[b.member.Domain] })
		c.watch(time.Minute)
		is.Equal(c.unserved, time.Duration(0))
		is.True(!south[c.holder().member.Domain])
		is.Equal(len(c.holders(other)), 1)
		is.True(south[c.holders(other)[0].member.Domain])
		is.Equal(c.overlaps, 0)
	})
}

// Guards against a hand-over that makes callers wait for the end of a promise.
func TestPlannedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b", "c")
		old := c.holder()
		is.NoErr(old.keeper.Leave(t.Context()))
		next, ok, err := old.keeper.NextHolder(t.Context(), testShard)
		is.NoErr(err)
		is.True(ok)
		for _, p := range c.processes {
			if p.member == next {
				accepted, err := p.keeper.Expect(t.Context(), testShard)
				is.NoErr(err)
				is.True(accepted)
			}
		}
		go func() { _ = old.keeper.Release(context.Background(), testShard) }()
		c.watch(time.Second)
		is.True(c.unserved <= 10*time.Millisecond) // two round trips of 2 ms and a message
		is.Equal(c.holder().member, next)
		is.Equal(c.overlaps, 0)
		is.Equal(old.keeper.Release(t.Context(), testShard), ErrNotHeld)
	})
}

// Guards against a mirror set that counts before a majority of the witnesses
// knows it, and against a new holder that does not learn it.
func TestMirrorsAreInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b", "c")
		old := c.holder()
		mirrors := []authority.Instance{c.witnesses()[1].member.Instance, c.witnesses()[2].member.Instance}
		is.NoErr(old.keeper.ProposeMirrors(t.Context(), testShard, mirrors))
		is.Equal(old.keeper.Source(testShard).Tenure().Mirrors.Members, mirrors)
		c.isolate(func(a, b *process) bool { return a == old || b == old })
		start := time.Now()
		is.Equal(old.keeper.ProposeMirrors(t.Context(), testShard, nil), ErrNotHeld)
		is.True(time.Since(start) > 400*time.Millisecond)
		c.watch(time.Second)
		is.Equal(c.holder().keeper.Source(testShard).Tenure().Mirrors.Members, mirrors)
	})
}
