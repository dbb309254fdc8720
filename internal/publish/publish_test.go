package publish

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// inEffectEverywhere is the design target for a configuration change.
const inEffectEverywhere = 18 * time.Second

// Guards against a change that does not reach all instances, and against more
// than one watcher in a failure domain.
func TestChangeReachesAllInstances(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		for i := range 12 {
			n.start(i, []string{"a", "b", "c"}[i%3])
		}
		n.awaitVersion(1, inEffectEverywhere)
		time.Sleep(30 * time.Second)
		for number := uint64(2); number < 6; number++ {
			n.apply(number)
			n.awaitVersion(number, inEffectEverywhere)
		}
		watches := n.store.Calls("watch")
		time.Sleep(60 * time.Second)
		is.Equal(n.store.Calls("watch")-watches, 3*6) // one watch of 10 s at a time in each of 3 failure domains
	})
}

// Guards against a starting instance that waits for the store although a peer
// has the settings.
func TestNewInstanceDuringOutage(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		n.start(0, "a")
		n.awaitVersion(1, inEffectEverywhere)
		n.store.SetFaults(outage, nil)
		started := time.Now()
		fresh := n.start(1, "a")
		<-fresh.Ready()
		is.True(time.Since(started) < time.Second)
		is.Equal(fresh.Settings().Version.Number, uint64(1))
		is.Equal(fresh.Settings().Tree.Control().MaxMoves, 2)
		time.Sleep(time.Hour) // an hour of outage
		n.awaitVersion(1, 0)
		n.store.SetFaults(nil, nil)
		n.apply(2)
		n.awaitVersion(2, inEffectEverywhere)
	})
}

// Guards against a starting instance that takes an older version from a
// restored store while its peers answer late.
func TestNewInstanceDoesNotTakeOlderStore(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.backup()
		n.apply(2)
		n.start(0, "a")
		n.awaitVersion(2, inEffectEverywhere)
		n.store.Restore(old)
		n.setCut("0", true)
		fresh := n.start(1, "b")
		time.Sleep(2 * time.Second)
		is.Equal(fresh.Settings(), nil)
		n.setCut("0", false)
		<-fresh.Ready()
		is.Equal(fresh.Settings().Version.Number, uint64(2))
	})
}

// Guards against a fleet that never starts because each waits for the others.
func TestFirstStartReadsTheStore(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		for i := range 6 {
			n.start(i, "a")
		}
		time.Sleep(10 * time.Second)
		n.apply(1)
		n.awaitVersion(1, inEffectEverywhere)
	})
}

// Guards against a reverted configuration when the store comes back with an
// older value, with none, or with a damaged one.
func TestRestoredStoreIsRepaired(t *testing.T) {
	cases := map[string]func(old store.Entry) []store.Entry{
		"older": func(old store.Entry) []store.Entry { return []store.Entry{old} },
		"empty": func(store.Entry) []store.Entry { return nil },
		"damaged": func(old store.Entry) []store.Entry {
			return []store.Entry{{Key: old.Key, Value: []byte("{"), Revision: 1}}
		},
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *network) {
				is := is.New(t)
				n.apply(1)
				old := n.backup()
				n.apply(2)
				latest := n.apply(3)
				for i := range 4 {
					n.start(i, []string{"a", "b"}[i%2])
				}
				n.awaitVersion(3, inEffectEverywhere)
				time.Sleep(10 * time.Second) // both failure domains have a watcher
				n.store.Restore(content(old)...)
				time.Sleep(inEffectEverywhere)
				n.awaitVersion(3, 0)
				stored, err := version.Decode(n.backup().Value)
				is.NoErr(err)
				is.Equal(stored, latest)
				n.apply(4)
				n.awaitVersion(4, inEffectEverywhere)
			})
		})
	}
}

// Guards against a stale read that overwrites a newer version in the store.
func TestStaleReadRepairsNothing(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.backup()
		n.apply(2)
		f := n.follower(&staleStore{Store: n.store, entry: old})
		before := n.store.Calls("cas")
		f.consider(t.Context(), old) // reads the stale entry again and tries the repair
		is.True(n.store.Calls("cas") > before)
		stored, err := version.Decode(n.backup().Value)
		is.NoErr(err)
		is.Equal(stored.Number, uint64(2))
	})
}

// Guards against a single stale read that already causes a write.
func TestOneStaleReadIsNotBelieved(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.backup()
		n.apply(2)
		f := n.follower(n.store)
		revision := n.backup().Revision
		f.consider(t.Context(), old)
		is.Equal(n.backup().Revision, revision)
	})
}

// Guards against a failure domain without a watcher after its watcher has gone,
// with its lease given back or not.
func TestWatcherIsReplaced(t *testing.T) {
	for name, graceful := range map[string]bool{"stopped": true, "crashed": false} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *network) {
				n.apply(1)
				for i := range 4 {
					n.start(i, "a")
				}
				n.awaitVersion(1, inEffectEverywhere)
				time.Sleep(20 * time.Second)
				holder := n.watcherOf("a")
				if !graceful {
					n.store.SetFaults(func(op, key string) error {
						if op == "revoke" {
							return store.ErrUnavailable
						}
						return nil
					}, nil)
				}
				n.remove(int(holder[0] - '0'))
				time.Sleep(watcherTTL + 10*time.Second)
				if next := n.watcherOf("a"); next == holder {
					t.Fatalf("the watcher is still %s", next)
				}
				n.apply(2)
				n.awaitVersion(2, inEffectEverywhere)
			})
		})
	}
}

// watcherOf returns the instance that the lease of the failure domain names.
func (n *network) watcherOf(domain string) string {
	entry, err := n.store.Get(n.t.Context(), WatcherKey(domain))
	if err != nil {
		n.t.Fatalf("no watcher in %s: %v", domain, err)
	}
	return string(entry.Value)
}

// Guards against calls to the store that grow with the number of instances.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	count := func(instances int) (calls uint64) {
		run(t, func(t *testing.T, n *network) {
			n.apply(1)
			for i := range instances {
				n.start(i, "a")
			}
			n.awaitVersion(1, inEffectEverywhere)
			time.Sleep(time.Minute)
			before := n.storeCalls()
			time.Sleep(2 * time.Minute)
			calls = n.storeCalls() - before
		})
		return calls
	}
	small, large := count(5), count(60)
	t.Logf("calls in 2 minutes: %d with 5 instances, %d with 60", small, large)
	// One renewal and one attempt a second, one watch and one read each 10 s.
	if limit := uint64(3 * 120); small > limit || large > limit {
		t.Errorf("calls in 2 minutes: %d with 5 instances, %d with 60, limit %d", small, large, limit)
	}
}

func (n *network) storeCalls() uint64 {
	synctest.Wait()
	total := uint64(0)
	for _, node := range n.nodes {
		total += node.StoreCalls()
	}
	return total
}

// Guards against a tree that this release refuses being installed or
// transferred over and over.
func TestRefusedVersion(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		a, b := n.start(0, "a"), n.start(1, "b")
		n.awaitVersion(1, inEffectEverywhere)
		v := version.Version{Number: 2, Parent: 1, WriteID: "x", Author: "bryn", Text: "[DEFAULT]\nnew_setting = 1\n"}
		v.SHA256 = version.Digest(v.Text)
		value, err := version.Encode(v)
		is.NoErr(err)
		var served atomic.Int32
		n.answerAs("9", func(exchange.Request) exchange.Reply {
			served.Add(1)
			return exchange.Reply{Summary: exchange.Summary{SettingsVersion: 2}, Settings: &exchange.SettingsValue{Version: 2, Value: value}}
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

// Guards against an instance that goes back when a peer answers with an older
// version, as after replies that overtook each other.
func TestOlderAnswerRevertsNothing(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.backup().Value
		n.apply(2)
		a := n.start(0, "a")
		n.awaitVersion(2, inEffectEverywhere)
		var asked atomic.Int32
		n.answerAs("9", func(exchange.Request) exchange.Reply {
			asked.Add(1)
			return exchange.Reply{Settings: &exchange.SettingsValue{Version: 1, Value: old}}
		})
		_, err := a.Exchange(t.Context(), exchange.Request{Address: "9", Summary: exchange.Summary{SettingsVersion: 3}})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(asked.Load() > 0)
		is.Equal(a.Settings().Version.Number, uint64(2))
	})
}

// Guards against a shard holder or a mark that peers do not learn, and against a
// deposed holder that overwrites its successor.
func TestShardsAndMarksReachPeers(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		for i := range 8 {
			n.start(i, "a")
		}
		n.awaitVersion(1, inEffectEverywhere)
		shard := key.ShardID{Service: "bosho", Index: 2}
		changed := n.nodes["7"].ShardsChanged()
		n.nodes["0"].Claim(exchange.ShardEntry{Shard: shard, Token: authority.Token{Epoch: 1, Ballot: 2}, Address: "0"})
		n.nodes["0"].Quarantined(exchange.Mark{Fingerprint: 5, Crashes: 2, Remaining: time.Minute})
		n.nodes["1"].Claim(exchange.ShardEntry{Shard: shard, Token: authority.Token{Epoch: 1, Ballot: 1}, Address: "1"})
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
