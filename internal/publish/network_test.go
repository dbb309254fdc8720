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

// network connects publishers of one process. It runs inside a synctest bubble.
type network struct {
	t     *testing.T
	store *settingstest.Store

	mu            sync.Mutex
	nodes         map[string]*node
	unreachable   map[string]bool // addresses that cannot be reached
	scriptedPeers map[string]func(exchange.Request) exchange.Reply
}

type node struct {
	*Publisher
	domain string
	stop   func()
}

// latency is one way between instances.
const latency = 2 * time.Millisecond

func newNetwork(t *testing.T) *network {
	return &network{t: t, store: settingstest.NewStore(), nodes: map[string]*node{}, unreachable: map[string]bool{}, scriptedPeers: map[string]func(exchange.Request) exchange.Reply{}}
}

// peerList is the view of one instance.
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

// addScriptedPeer adds an instance outside the list that only answers.
func (n *network) addScriptedPeer(address string, answer func(exchange.Request) exchange.Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.scriptedPeers[address] = answer
}

func (n *network) setUnreachable(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = cut
}

// start runs an instance until the test ends or stop is called.
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
	stopped := &node{Publisher: p, domain: domain, stop: sync.OnceFunc(func() { cancel(); <-done })}
	n.mu.Lock()
	n.nodes[address] = stopped
	n.mu.Unlock()
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	return stopped
}

// remove stops an instance and takes it off the list.
func (n *network) remove(i int) {
	address := strconv.Itoa(i)
	n.mu.Lock()
	gone := n.nodes[address]
	delete(n.nodes, address)
	n.mu.Unlock()
	gone.stop()
}

func (n *network) stopAll() {
	for _, peer := range (peerList{network: n}).Peers() {
		n.nodes[peer.Address].stop()
	}
}

// apply makes a version with the number the accepted one.
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

// awaitVersion waits in virtual time until every instance has the version.
func (n *network) awaitVersion(number uint64, within time.Duration) {
	n.t.Helper()
	deadline := time.Now().Add(within)
	for {
		synctest.Wait()
		lacking := n.lacking(number)
		if len(lacking) == 0 {
			return
		}
		if !time.Now().Before(deadline) {
			n.t.Fatalf("version %d is not in effect after %v at %v", number, within, lacking)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *network) lacking(number uint64) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var lacking []string
	for address, node := range n.nodes {
		if s := node.Settings(); s == nil || s.Version.Number != number {
			lacking = append(lacking, address)
		}
	}
	return lacking
}

// runNetwork runs the test in virtual time and stops all instances at its end.
func runNetwork(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stopAll()
		test(t, n)
	})
}

// storeOutage makes all calls to the store fail.
func storeOutage(string, string) error { return store.ErrUnavailable }

// currentEntry returns what the store holds now under the current key.
func (n *network) currentEntry() store.Entry {
	entry, err := n.store.Get(context.Background(), version.CurrentKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		n.t.Fatal(err)
	}
	return entry
}
