package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// fleetPlay runs a coordinator with followers over real links of the loopback interface.
type fleetPlay struct {
	t         testing.TB
	servers   []fleet.Server
	instances []*playInstance
	revision  uint64
	version   int
	store     *memstore.Store
	tenures   int
	// rejoins counts the links that ended while the play waited for their instance.
	rejoins int
	// current is the tenure that the instances follow.
	current *playTenure
}

// playTenure is one tenure of the holder in a play.
type playTenure struct {
	*Coordinator
	registry *facts.Registry
	address  string
	end      func()
}

// newFleetPlay returns a play with the given numbers of instances and servers: five of nine
// servers belong to a keyed service with 3 slots, the others to three services.
func newFleetPlay(t testing.TB, instances, servers int) *fleetPlay {
	p := &fleetPlay{t: t, store: memstore.New(), version: 1, revision: 10}
	for n := range servers {
		service := "keyed"
		if n%9 >= 5 {
			service = fmt.Sprint("open-", n%3)
		}
		p.servers = append(p.servers, fleet.Server{
			Incarnation: fleet.Incarnation{Name: fmt.Sprintf("server-%04d", n), StartMS: 1_700_000_000_000 + int64(n)*977},
			Service:     service, Address: fleet.Address(fmt.Sprintf("10.%d.%d.%d:8080", n%3, n/250, n%250)), Domain: fmt.Sprint("domain-", n%3), Slots: 3,
		})
	}
	for n := range instances {
		p.instances = append(p.instances, &playInstance{name: fmt.Sprintf("entry-%03d/K55N5AKH", n), domain: fmt.Sprint("domain-", n%3), registry: newPlayRegistry()})
	}
	return p
}

func newPlayRegistry() *facts.Registry {
	return facts.NewRegistry(func(text []byte) (*fleet.Config, error) {
		var version int
		if _, err := fmt.Sscan(string(text), &version); err != nil {
			return nil, err
		}
		return fleet.NewConfig(int64(version), []*fleet.Service{{Name: "keyed", Keyed: true}, {Name: "open-0"}, {Name: "open-1"}, {Name: "open-2"}}, nil, fleet.Limits{}), nil
	}, nil)
}

// config returns the operators' configuration of a version, of the size of a usual one.
func playConfig(version int) []byte {
	return slices.Concat([]byte(fmt.Sprintln(version)), make([]byte, 4096))
}

// readStore gives a registry what the holder would read from the store now.
func (p *fleetPlay) readStore(registry *facts.Registry) {
	now := time.Now()
	p.revision++
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: playConfig(p.version), Revision: p.revision}, now)
	registry.UpdateListing(fleet.Listing{Revision: p.revision, Servers: slices.Clone(p.servers)}, now)
	registry.ConfirmRead(now)
}

// begin starts a tenure with what the instance knows that becomes the holder.
func (p *fleetPlay) begin(registry *facts.Registry) {
	ctx, cancel := context.WithCancel(context.Background())
	p.tenures++
	self := Identity{Name: fmt.Sprint("holder-", p.tenures), Tenure: int64(p.tenures)}
	elector := NewElector(Options{Self: self, Store: p.store, Registry: registry, OrderSender: playOrders{}, ProcessorShare: 0.8, RetryBudget: placing.RetryBudget{Window: 10 * time.Second, Ratio: 0.1, Extra: 10}})
	records := &recordStore{store: p.store, tenureName: self.tenureName()}
	found, err := records.claim(ctx)
	is.New(p.t).NoErr(err)
	c := newCoordinator(ctx, cancel, elector, records, found, time.Now())
	c.confirmElection(time.Now(), time.Now())
	elector.coordinator.Store(c)
	listener, err := link.Listen(ctx, "127.0.0.1:0")
	is.New(p.t).NoErr(err)
	var running sync.WaitGroup
	running.Go(func() { _ = link.NewServer(elector).Serve(ctx, listener) })
	running.Go(c.run)
	running.Go(func() {
		for sleep(ctx, leaseRenewInterval); ctx.Err() == nil; sleep(ctx, leaseRenewInterval) {
			c.confirmLease(time.Now())
			registry.ConfirmRead(time.Now())
		}
	})
	p.current = &playTenure{Coordinator: c, registry: registry, address: listener.Addr().String(), end: func() {
		cancel()
		running.Wait()
		c.orderCalls.Wait()
		c.disconnectAll()
	}}
}

// joinAll joins all instances to the current tenure at the same moment.
func (p *fleetPlay) joinAll() {
	var joins sync.WaitGroup
	for _, i := range p.instances {
		joins.Go(func() { i.join(p.t, p.current.address) })
	}
	joins.Wait()
}

// await waits until all instances meet the condition, and returns how long that took for the
// middle and the last one.
func (p *fleetPlay) await(limit time.Duration, condition func(*facts.Snapshot) bool) (middle, last time.Duration) {
	p.t.Helper()
	began := time.Now()
	var took []time.Duration
	met := map[*playInstance]bool{}
	for len(met) < len(p.instances) {
		for _, i := range p.instances {
			if met[i] {
				continue
			}
			if condition(i.registry.Snapshot()) {
				met[i] = true
				took = append(took, time.Since(began))
			} else if i.ended() {
				p.rejoins++
				i.join(p.t, p.current.address)
			}
		}
		if time.Since(began) > limit {
			p.t.Fatalf("%d of %d instances met the condition within %v", len(met), len(p.instances), limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return took[len(took)/2], took[len(took)-1]
}

// sameServers reports whether the snapshot lists exactly the servers of the play.
func (p *fleetPlay) sameServers(s *facts.Snapshot) bool {
	return s.Config != nil && s.ListingVersion.Revision >= p.revision && slices.Equal(s.Servers, p.servers)
}

// load makes all instances together send the given number of attempts a second until ctx is done.
func (p *fleetPlay) load(ctx context.Context, perSecond float64) *sync.WaitGroup {
	var senders sync.WaitGroup
	for n, i := range p.instances {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		senders.Go(func() {
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(random.ExpFloat64()*float64(len(p.instances))/perSecond*float64(time.Second)))
				i.ask(random)
			}
		})
	}
	return &senders
}

// playOrders answers orders after 2 to 20 ms.
type playOrders struct{}

func (playOrders) SendOrder(ctx context.Context, _ fleet.Server, order owners.Order) owners.OrderResult {
	sleep(ctx, 2*time.Millisecond+time.Duration(rand.Int64N(int64(18*time.Millisecond))))
	return owners.OrderResult{Order: order, Outcome: owners.OutcomeDone, Ended: time.Now()}
}
