package exchange

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// fleet simulates exchanges between states in rounds of one exchange interval.
type fleet struct {
	states   []State
	peers    []Peer
	random   *rand.Rand
	loss     float64 // fraction of calls that are lost
	push     bool
	now      time.Time
	settings int // settings values sent in replies
	tables   int // replies with shards or marks
	queue    []queuedPush
}

type queuedPush struct {
	from   int
	update Update
}

func newFleet(n int, seed uint64, loss float64, push bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, push: push, now: time.Unix(0, 0)}
	for i := range n {
		address := strconv.Itoa(i)
		f.states = append(f.states, State{Self: authority.Instance{Name: address, Incarnation: "1"}, Address: address})
		f.peers = append(f.peers, Peer{Name: address, Address: address})
	}
	return f
}

// merged stores the new state of node i and queues the push of its update.
func (f *fleet) merged(i int, state State, update Update) {
	f.states[i] = state
	if f.push && !update.IsEmpty() {
		f.queue = append(f.queue, queuedPush{i, update})
	}
}

// call delivers a request and handles the reply as package publish does.
func (f *fleet) call(from, to int, r Request) {
	if from == to || f.random.Float64() < f.loss {
		return
	}
	state, update := f.states[to].Merge(r.Shards, r.Quarantine, f.now)
	f.merged(to, state, update)
	reply := f.states[to].NewReply(r, f.now)
	fetch := f.states[to].NeedsVersion(r.SettingsVersion)
	f.receive(from, reply)
	if again, ok := f.states[from].FollowUp(reply, f.now); ok {
		f.call(from, to, again)
	}
	if fetch && f.states[to].NeedsVersion(r.SettingsVersion) {
		f.call(to, from, f.states[to].NewRequest(f.now))
	}
}

func (f *fleet) receive(i int, r Reply) {
	state, update := f.states[i].Merge(r.Shards, r.Quarantine, f.now)
	if len(r.Shards) > 0 || len(r.Quarantine) > 0 {
		f.tables++
	}
	if r.Settings != nil {
		f.settings++
		var installed Update
		state, installed = state.Install(*r.Settings)
		update = update.Merge(installed)
	}
	f.merged(i, state, update)
}

// round delivers all queued pushes and then lets every node exchange once.
func (f *fleet) round() {
	f.drain()
	for i := range f.states {
		for _, peer := range PickPeers(f.peers, 1, f.random) {
			f.callPeer(i, peer, f.states[i].NewRequest(f.now))
		}
		f.drain()
	}
	f.now = f.now.Add(time.Second)
}

func (f *fleet) drain() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		for _, peer := range PushTargets(f.peers, f.random) {
			f.callPeer(next.from, peer, f.states[next.from].NewPush(next.update, f.now))
		}
	}
}

func (f *fleet) callPeer(from int, peer Peer, r Request) {
	to, _ := strconv.Atoi(peer.Address)
	f.call(from, to, r)
}

func (f *fleet) count(has func(State) bool) int {
	n := 0
	for _, s := range f.states {
		if has(s) {
			n++
		}
	}
	return n
}

// Guards against a version or a new shard holder that does not reach all of 930 instances
// within the 18 s of the design target: by exchange alone or with pushes, and without loss or
// with a fifth of all calls lost.
func TestReachesAllInstancesInTime(t *testing.T) {
	const instances = 930
	const target = 18 * time.Second
	const interval = time.Second // default of exchange_interval
	cases := []struct {
		push bool
		loss float64
	}{{false, 0}, {false, 0.2}, {true, 0}, {true, 0.2}}
	for _, c := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("push=%v,loss=%v,seed=%d", c.push, c.loss, seed), func(t *testing.T) {
				f := newFleet(instances, seed, c.loss, c.push)
				shard := key.ShardID{Service: "bosho", Index: 1}
				state, update := f.states[0].Install(SettingsValue{Version: 7, Value: []byte("seven")})
				state, more := state.Merge([]ShardEntry{{Shard: shard, Token: authority.Token{Epoch: 2, Ballot: 1}}}, nil, f.now)
				f.merged(0, state, update.Merge(more))
				complete := func(s State) bool { return s.Settings.Version == 7 && s.Shards.Len() == 1 }
				rounds := 0
				for ; f.count(complete) < instances; rounds++ {
					if time.Duration(rounds)*interval >= target {
						t.Fatalf("%d of %d instances up to date after %d rounds", f.count(complete), instances, rounds)
					}
					f.round()
				}
				t.Logf("%d rounds, %d settings values, %d tables", rounds, f.settings, f.tables)
			})
		}
	}
}

// Guards against entries that are sent although nothing differs, and against an instance that
// receives the same settings more than once.
func TestPayloadOnlyOnDifference(t *testing.T) {
	const instances = 200
	f := newFleet(instances, 1, 0, true)
	state, update := f.states[0].Install(SettingsValue{Version: 1})
	state, more := state.Merge([]ShardEntry{{Token: authority.Token{Epoch: 1}}}, []QuarantineMark{{Fingerprint: 1, Crashes: 1, Remaining: time.Hour}}, f.now)
	f.merged(0, state, update.Merge(more))
	for range 20 {
		f.round()
	}
	if f.settings != instances-1 {
		t.Errorf("%d settings values sent to %d instances that did not have the version", f.settings, instances-1)
	}
	settings, tables := f.settings, f.tables
	for range 10 {
		f.round()
	}
	if f.settings != settings || f.tables != tables {
		t.Errorf("%d settings values and %d tables sent between instances with equal state", f.settings-settings, f.tables-tables)
	}
}
