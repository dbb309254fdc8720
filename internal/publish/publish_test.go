package publish

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// propagationTarget is the time within which a settings change must be in effect at all
// instances.
const propagationTarget = 18 * time.Second

// Guards against a settings change that does not reach all instances, and against more than
// one watcher in a failure domain.
func TestChangeReachesAllInstances(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		for i := range 12 {
			n.start(i, []string{"a", "b", "c"}[i%3])
		}
		n.awaitVersion(1, propagationTarget)
		time.Sleep(30 * time.Second)
		for number := uint64(2); number < 6; number++ {
			n.apply(number)
			n.awaitVersion(number, propagationTarget)
		}
		watches := n.store.Calls("watch")
		time.Sleep(60 * time.Second)
		is.Equal(n.store.Calls("watch")-watches, 3*6) // one watch of 10 s at a time in each of 3 failure domains
	})
}

// Guards against a tree that this release refuses being installed, or being transferred again
// with each announcement.
func TestRefusedVersion(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		a, b := n.start(0, "a"), n.start(1, "b")
		n.awaitVersion(1, propagationTarget)
		v := version.Version{Number: 2, Parent: 1, WriteID: "x", Author: "bryn", Text: "[DEFAULT]\nnew_setting = 1\n"}
		v.SHA256 = version.Digest(v.Text)
		value, err := version.Encode(v)
		is.NoErr(err)
		var served atomic.Int32
		n.addScriptedPeer("9", func(exchange.Request) exchange.Reply {
			served.Add(1)
			return exchange.Reply{Summary: exchange.Summary{SettingsVersion: 2}, Settings: &exchange.SettingsValue{Version: 2, Value: version.Compress(value)}}
		})
		request := exchange.Request{From: authority.Instance{Name: "9"}, Address: "9", Summary: exchange.Summary{SettingsVersion: 2}}
		for range 5 {
			_, err = a.Exchange(t.Context(), request)
			is.NoErr(err)
			time.Sleep(3 * time.Second)
		}
		is.Equal(served.Load(), int32(1))
		is.Equal(a.Settings().Version.Number, uint64(1))
		is.Equal(b.Settings().Version.Number, uint64(1))
	})
}

// Guards against an instance that reverts to an older version when a peer replies with one, as
// when replies arrive out of order.
func TestOlderReplyRevertsNothing(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.currentEntry().Value
		n.apply(2)
		a := n.start(0, "a")
		n.awaitVersion(2, propagationTarget)
		var asked atomic.Int32
		n.addScriptedPeer("9", func(exchange.Request) exchange.Reply {
			asked.Add(1)
			return exchange.Reply{Settings: &exchange.SettingsValue{Version: 1, Value: version.Compress(old)}}
		})
		_, err := a.Exchange(t.Context(), exchange.Request{Address: "9", Summary: exchange.Summary{SettingsVersion: 3}})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(asked.Load(), int32(1))
		is.Equal(a.Settings().Version.Number, uint64(2))
	})
}

// Guards against a shard holder or a quarantine mark that does not reach the peers, and
// against a superseded holder that overwrites its successor.
func TestShardsAndMarksReachPeers(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		for i := range 8 {
			n.start(i, "a")
		}
		n.awaitVersion(1, propagationTarget)
		shard := key.ShardID{Service: "bosho", Index: 2}
		changed := n.nodes["7"].ShardsChanged()
		n.nodes["0"].AnnounceShards(exchange.ShardEntry{Shard: shard, Token: authority.Token{Epoch: 1, Ballot: 2}, Address: "0"})
		n.nodes["0"].AnnounceMarks(exchange.QuarantineMark{Fingerprint: 5, Crashes: 2, Remaining: time.Minute})
		n.nodes["1"].AnnounceShards(exchange.ShardEntry{Shard: shard, Token: authority.Token{Epoch: 1, Ballot: 1}, Address: "1"})
		<-changed
		time.Sleep(5 * time.Second)
		for _, node := range n.nodes {
			entry, ok := node.Shards().Find(shard)
			is.True(ok)
			is.Equal(entry.Address, "0")
			is.Equal(node.Quarantine().Crashes(5, time.Now()), 2)
		}
	})
}
