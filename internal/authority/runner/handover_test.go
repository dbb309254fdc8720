package runner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Guards against a planned hand-over in which callers wait for promises to
// expire.
func TestPlannedRelease(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		old := c.holder()
		is.NoErr(old.runner.Leave(c.t.Context()))
		next, ok, err := old.runner.NextHolder(c.t.Context(), testShard)
		is.NoErr(err)
		is.True(ok)
		accepted, err := c.processAt(next.Address).runner.ExpectHandOver(c.t.Context(), testShard)
		is.NoErr(err)
		is.True(accepted)
		go func() { _ = old.release(context.Background()) }()
		c.observe(time.Second)
		is.True(c.longestGap <= 10*time.Millisecond) // two round trips of 2 ms and a message
		is.Equal(c.holder().member, next)
		is.Equal(old.release(c.t.Context()), ErrNotHeld)
	})
}

// Guards against gaps during a rolling restart, and against a preferred holder
// that never gets its shard back.
func TestRollingRestart(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		preferred := c.holder().member.Instance.Name
		for _, p := range slices.Clone(c.processes) {
			is.NoErr(p.runner.Leave(c.t.Context()))
			_ = p.release(c.t.Context())
			time.Sleep(100 * time.Millisecond)
			p.kill()
			c.start(p.member.Instance.Name, "2", p.member.Domain)
			c.announceInstances()
			c.observe(10 * time.Second)
			is.True(c.longestGap <= 50*time.Millisecond) // rank delay and round trips
		}
		c.followHandOverAdvice()
		c.observe(time.Minute)
		is.Equal(c.holder().member.Instance.Name, preferred)
		is.True(c.longestGap <= 50*time.Millisecond)
	})
}

// Guards against a mirror set that takes effect before a majority of the
// witnesses knows it, and against a new holder that does not learn it.
func TestMirrorsAreInherited(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		old := c.holder()
		mirrors := []authority.Instance{c.witnesses()[1].member.Instance, c.witnesses()[2].member.Instance}
		is.NoErr(old.runner.ProposeMirrors(c.t.Context(), testShard, mirrors))
		is.Equal(old.source().Tenure().Mirrors.Members, mirrors)
		c.partition(func(a, b *process) bool { return a == old || b == old })
		start := time.Now()
		is.Equal(old.runner.ProposeMirrors(c.t.Context(), testShard, nil), ErrNotHeld)
		is.True(time.Since(start) > 400*time.Millisecond)
		c.observe(time.Second)
		is.Equal(c.holder().source().Tenure().Mirrors.Members, mirrors)
	})
}

// Guards against a mirror that confirms a copy from the previous holder after
// it has promised to the next one.
func TestMirrorRefusesFormerHolder(t *testing.T) {
	runCluster(t, 6, func(is *is.I, c *cluster) {
		old := c.holder()
		token := old.source().Tenure().Token
		mirror := c.witnesses()[3]
		_, ok := mirror.source().MayConfirmCopy(old.member.Instance, token)
		is.True(ok)
		old.pause()
		c.observe(time.Second)
		highest, ok := mirror.source().MayConfirmCopy(old.member.Instance, token)
		is.True(!ok)
		is.Equal(highest, c.holder().source().Tenure().Token)
	})
}
