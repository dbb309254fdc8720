package publish

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// network connects publishers within one process. It runs inside a synctest bubble.
type network struct {
	t     *testing.T
	store *settingstest.Store

	mu            sync.Mutex
	nodes         map[string]*node
	unreachable   map[string]bool // by address; calls from and to these instances time out
	scriptedPeers map[string]func(exchange.Request) exchange.Reply
}

type node struct {
	*Publisher
	domain string
	stop   func()
}

// latency is the one-way latency between instances.
const latency = 2 * time.Millisecond

func newNetwork(t *testing.T) *network {
	return &network{t: t, store: settingstest.NewStore(), nodes: map[string]*node{}, unreachable: map[string]bool{}, scriptedPeers: map[string]func(exchange.Request) exchange.Reply{}}
}

// peerList lists the peers of one instance.
type peerList struct {
	network *network
	self    string
}

func (l peerList) Peers() []exchange.Peer {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	var peers []exchange.Peer
	for i := range 1000 {
		address := strconv.Itoa(i)
		if n := l.network.nodes[address]; n != nil && address != l.self {
			peers = append(peers, exchange.Peer{Name: address, Domain: n.domain, Address: address})
		}
	}
	return peers
}

func (n *network) Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error) {
	time.Sleep(latency)
	n.mu.Lock()
	to := n.nodes[address]
	lost := n.unreachable[address] || n.unreachable[r.Address]
	scripted := n.scriptedPeers[address]
	n.mu.Unlock()
	if scripted != nil {
		return scripted(r), nil
	}
	if lost || to == nil {
		<-ctx.Done()
		return exchange.Reply{}, ctx.Err()
	}
	reply, err := to.Exchange(ctx, r)
	time.Sleep(latency)
	return reply, err
}

// addScriptedPeer adds an instance that is not listed and only replies to requests.
func (n *network) addScriptedPeer(address string, reply func(exchange.Request) exchange.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.scriptedPeers[address] = reply
}

func (n *network) setUnreachable(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = isolated
}

// start runs an instance until the test ends or its stop is called.
func (n *network) start(i int, domain string) *node {
	address := strconv.Itoa(i)
	p := New(Config{
		Self:       authority.Instance{Name: address, Incarnation: "1"},
		Domain:     domain,
		Address:    address,
		Peers:      peerList{n, address},
		PeerClient: n,
		Store:      n.store,
		Random:     rand.New(rand.NewPCG(uint64(i), 7)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	started := &node{Publisher: p, domain: domain, stop: sync.OnceFunc(func() { cancel(); <-done })}
	n.mu.Lock()
	n.nodes[address] = started
	n.mu.Unlock()
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	return started
}

// remove stops an instance and removes it from the list.
func (n *network) remove(i int) {
	address := strconv.Itoa(i)
	n.mu.Lock()
	removed := n.nodes[address]
	delete(n.nodes, address)
	n.mu.Unlock()
	removed.stop()
}

func (n *network) stopAll() {
	for _, peer := range (peerList{network: n}).Peers() {
		n.nodes[peer.Address].stop()
	}
}

// apply writes a version with this number to the store as the accepted one.
func (n *network) apply(number uint64) version.Version {
	v, err := version.Apply(context.Background(), n.store, version.Proposal{Text: settingsText(number), FileName: "test", Author: "aoi", Parent: number - 1, Time: time.Unix(0, 0)})
	if err != nil {
		n.t.Fatal(err)
	}
	return v
}

func settingsText(number uint64) string {
	return fmt.Sprintf("[DEFAULT]\nqueue_limit = %d\n", number)
}

// awaitVersion waits, in virtual time, until the version is in effect at every instance.
func (n *network) awaitVersion(number uint64, within time.Duration) {
	n.t.Helper()
	deadline := time.Now().Add(within)
	for {
		synctest.Wait()
		missing := n.missing(number)
		if len(missing) == 0 {
			return
		}
		if !time.Now().Before(deadline) {
			n.t.Fatalf("version %d is not in effect after %v at %v", number, within, missing)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *network) missing(number uint64) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []string
	for address, node := range n.nodes {
		if s := node.Settings(); s == nil || s.Version.Number != number {
			missing = append(missing, address)
		}
	}
	return missing
}

// runNetwork runs a test in virtual time and stops all instances at its end.
func runNetwork(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stopAll()
		test(t, n)
	})
}

// storeOutage makes every store call fail.
func storeOutage(string, string) error { return store.ErrUnavailable }

// currentEntry returns the store's entry under the current key.
func (n *network) currentEntry() store.Entry {
	entry, err := n.store.Get(context.Background(), version.CurrentKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		n.t.Fatal(err)
	}
	return entry
}
