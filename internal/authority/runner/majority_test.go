package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retire tells all processes which instances the operators have retired.
func (c *cluster) retire(names []string) {
	for _, p := range c.processes {
		if p.terminated.Load() {
			continue
		}
		if err := p.runner.SetRetired(c.t.Context(), names); err != nil {
			c.t.Fatal(err)
		}
	}
}

// Guards against a shard that stays unserved although other incarnations answer for a
// majority of its witnesses, which proves that these have terminated.
func TestMajorityProvenGone(t *testing.T) {
	runCluster(t, 9, func(is *is.I, c *cluster) {
		for _, w := range c.witnesses()[:3] {
			w.kill()
			c.start(w.member.Instance.Name, "2", w.member.Domain)
		}
		c.announceInstances()
		c.observe(10 * time.Second)
		is.Equal(len(c.holders(testShard)), 1)
		is.Equal(len(c.config().Witnesses), 5)
	})
}

// Guards against two holders when a partition resets connections: refused connections do
// not prove that the witnesses behind it have terminated. The shard stays unserved until
// operators retire them, or others answer at their addresses.
func TestRefusedConnectionsDoNotProveAMajorityGone(t *testing.T) {
	runCluster(t, 9, func(is *is.I, c *cluster) {
		var names []string
		for _, w := range c.witnesses()[:3] {
			names = append(names, w.member.Instance.Name)
			w.kill() // connections to it are refused from now on
		}
		c.announceInstances()
		c.observe(30 * time.Second)
		is.Equal(len(c.holders(testShard)), 0)
		c.retire(names)
		c.observe(10 * time.Second)
		is.Equal(len(c.holders(testShard)), 1)
	})
}

// Guards against a takeover without proof while a majority of the witnesses is
// silent, and against a list of retired instances that has no effect.
func TestMajoritySilentThenRetired(t *testing.T) {
	runCluster(t, 9, func(is *is.I, c *cluster) {
		lost := c.witnesses()[:3]
		var names []string
		for _, w := range lost {
			names = append(names, w.member.Instance.Name)
			w.kill()
		}
		c.partition(func(_, b *process) bool { return slices.Contains(lost, b) })
		c.announceInstances()
		c.observe(30 * time.Second)
		is.Equal(len(c.holders(testShard)), 0)
		c.retire(names)
		c.observe(10 * time.Second)
		is.Equal(len(c.holders(testShard)), 1)
	})
}

// Guards against a takeover while a majority is paused, and against a shard
// that stays unserved when the majority resumes.
func TestMajorityPaused(t *testing.T) {
	runCluster(t, 9, func(is *is.I, c *cluster) {
		paused := c.witnesses()[:3]
		for _, w := range paused {
			w.pause()
		}
		c.observe(10 * time.Second)
		is.Equal(len(c.holders(testShard)), 0)
		for _, w := range paused {
			w.resume()
		}
		c.observe(3 * time.Second)
		is.Equal(len(c.holders(testShard)), 1)
	})
}

// Guards against a shard that stays unserved after all instances were replaced,
// when no process remembers a promise or is named in the record.
func TestAllInstancesReplaced(t *testing.T) {
	runCluster(t, 12, func(is *is.I, c *cluster) {
		before := c.holder().source().Tenure().Token
		for _, p := range slices.Clone(c.processes) {
			p.kill()
			c.start(p.member.Instance.Name, "2", p.member.Domain)
		}
		c.announceInstances()
		c.observe(10 * time.Second)
		is.True(before.Less(c.holder().source().Tenure().Token))
	})
}
