package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Guards against two holders, or a long gap, when a partition separates
// instances that all reach the store.
func TestPartition(t *testing.T) {
	// minority is the number of witnesses, including the holder, that are
	// isolated.
	for name, minority := range map[string]int{"the holder alone": 1, "the holder and a witness": 2} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 5, func(is *is.I, c *cluster) {
				side := map[*process]bool{c.holder(): true}
				for _, w := range c.witnesses() {
					if len(side) < minority {
						side[w] = true
					}
				}
				c.partition(func(a, b *process) bool { return side[a] != side[b] })
				c.observe(20 * time.Second)
				is.True(c.longestGap <= takeoverLimit)
				is.True(!side[c.holder()])
				c.partition(nil)
				c.observe(20 * time.Second)
				is.Equal(c.longestGap, time.Duration(0))
			})
		})
	}
}

// Guards against a holder that is disturbed by a partition between two other
// witnesses.
func TestPartitionBetweenWitnesses(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		w := c.witnesses()
		c.partition(func(a, b *process) bool { return a == w[1] && b == w[2] || a == w[2] && b == w[1] })
		c.observe(10 * time.Second)
		is.Equal(c.longestGap, time.Duration(0))
	})
}

// Guards against a partition between regions that interrupts shards within a
// region, and against holders on both sides of it.
func TestRegionsPartitioned(t *testing.T) {
	runCluster(t, 12, func(is *is.I, c *cluster) {
		south := map[string]bool{"x": true, "y": true, "z": true}
		home := map[key.ShardID]bool{}
		for index := range 6 {
			inSouth := key.ShardID{Service: "rail", Index: index}
			home[inSouth] = true
			home[key.ShardID{Service: "atelier", Index: index}] = false
		}
		for id, inSouth := range home {
			domains := []string{"a", "b", "c"}
			if inSouth {
				domains = []string{"x", "y", "z"}
			}
			c.shards = append(c.shards, authority.ShardSpec{ID: id, Domains: domains})
		}
		for _, p := range c.processes {
			is.NoErr(p.runner.SetShards(c.t.Context(), c.shards))
		}
		time.Sleep(3 * time.Second)
		c.partition(func(a, b *process) bool { return south[a.member.Domain] != south[b.member.Domain] })
		c.observe(time.Minute)
		is.Equal(c.longestGap, time.Duration(0))
		for id, inSouth := range home {
			holders := c.holders(id)
			is.Equal(len(holders), 1)
			is.Equal(south[holders[0].member.Domain], inSouth)
		}
	}, "a", "b", "c", "x", "y", "z")
}
