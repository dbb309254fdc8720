package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

const (
	// domainCount is the number of failure domains, as in the users' deployments.
	domainCount = 3
	// slotsPerServer is how many requests a backend server runs at once.
	slotsPerServer = 8
	// heartbeat is the interval of the status reports of the backend servers.
	heartbeat = 870 * time.Millisecond
	// maxClockError is how much slower than real time the clock of a backend server may run.
	maxClockError = 0.02
	// readyTime limits the start of the fleet.
	readyTime = 15 * time.Second
)

// play is one seed being played.
type play struct {
	options  Options
	seed     uint64
	dir      string
	random   *rand.Rand
	startAt  time.Time
	launcher *programs.Launcher
	// reserved holds the addresses of the instances, which are free while one is down.
	reserved *ports.Reservation

	kv            *kvstore.Server
	storeServer   *http.Server
	configuration *configuration
	odd           *oddEntries
	runs          *runlog.Log
	owners        *backend.Owners
	arrivals      backend.Arrivals
	servers       []*backend.Server
	// serversBusy are held while an event of a server is under way.
	serversBusy []sync.Mutex
	instances   []*instance
	balancer    *callers.Balancer
	attempts    caller.Log
	impairments *check.Impairments
	sockets     *processSockets
	// sources is sockets, or nil if no failure domain is cut off.
	sources tcpproxy.Sources
	border  *border
	stalls  stallMonitor

	mu         sync.Mutex
	notes      []string
	limits     []backend.Limit
	departures []backend.Departure
	domainsOut []check.DomainOut
	stray      []string
	errors     []error
}

// newPlay prepares the stand-ins and the instances of a seed in dir. Only for cuts of failure
// domains do the proxies find out where connections come from, which takes time.
func newPlay(options Options, seed uint64, dir string, cutsDomains bool) (*play, error) {
	p := &play{
		options: options, seed: seed, dir: dir, random: rand.New(rand.NewPCG(seed, 2)), startAt: time.Now(),
		launcher: programs.NewLauncher(options.ProgramDir, dir),
		kv:       kvstore.New(), runs: runlog.New(), owners: backend.NewOwners(), impairments: check.NewImpairments(),
		sockets: newProcessSockets(),
	}
	p.border = newBorder(p)
	if cutsDomains {
		p.sources = p.sockets
	}
	var err error
	if p.odd, err = newOddEntries(seed); err != nil {
		return p, err
	}
	if options.Theme == oddEntriesTheme {
		p.putOddEntries()
	}
	p.configuration = &configuration{store: p.kv.Store()}
	if err := p.configuration.next(); err != nil {
		return p, err
	}
	p.serversBusy = make([]sync.Mutex, options.Servers*len(services))
	for n := range p.serversBusy {
		s := backend.NewServer(fmt.Sprintf("i-%d", n), backend.Config{
			Service: services[n%len(services)], Domain: domainName(n), Keyed: services[n%len(services)] == keyedService, Slots: slotsPerServer,
			ClockRate: 1 - maxClockError*p.random.Float64(), Heartbeat: heartbeat, Seed: p.random.Uint64(), Sources: p.sources,
			AnswersEarly: options.Theme == earlyAnswersTheme,
		}, p.kv.Store(), p.runs, p.owners, &p.arrivals)
		p.servers = append(p.servers, s)
		if err := s.Start(); err != nil {
			return p, err
		}
	}
	return p, p.addInstances()
}

func domainName(n int) string {
	return fmt.Sprintf("domain-%d", n%domainCount)
}

// addInstances creates the instances with their proxies, and serves the store.
func (p *play) addInstances() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	p.reserved, err = ports.Reserve(addressesPerInstance * p.options.Instances)
	if err != nil {
		return err
	}
	front := &storeFront{store: p.kv, proxies: map[string]string{}}
	var entries []*callers.EntryInstance
	for n := range p.options.Instances {
		i := newInstance(n, domainName(n), listener.Addr().String(), p.reserved.Addresses[addressesPerInstance*n:], p.launcher, p.dir, p.random.Uint64(), p.sockets, p.sources)
		p.instances = append(p.instances, i)
		front.proxies[i.settings["peers"]] = i.peers.Address()
		entries = append(entries, i.entry)
		if err := i.store.Open(); err != nil {
			return err
		}
	}
	p.storeServer = &http.Server{Handler: front}
	go func() { _ = p.storeServer.Serve(listener) }() // ends with the server
	p.balancer = callers.NewBalancer(entries)
	return nil
}

// close ends all processes and stand-ins.
func (p *play) close() {
	for _, i := range p.instances {
		i.store.Close()
	}
	p.launcher.Close()
	if p.balancer != nil {
		p.balancer.Close()
	}
	if p.odd != nil {
		_ = p.odd.Close()
	}
	if p.storeServer != nil {
		_ = p.storeServer.Close()
	}
	for _, s := range p.servers {
		s.Close()
	}
	if p.reserved != nil {
		p.reserved.Release()
	}
}

// run plays the seed and returns what was seen. Its error is that of the soak itself.
func (p *play) run(ctx context.Context, s schedule) (*check.Evidence, error) {
	for _, i := range p.instances {
		if err := i.start(true); err != nil {
			return nil, err
		}
	}
	if unserved := p.awaitService(ctx, readyTime); len(unserved) > 0 {
		return nil, errors.Errorf("the fleet was not ready within %v: %s", readyTime, strings.Join(unserved, "; "))
	}
	p.startAt = time.Now()
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for n := range p.options.callerCount() {
		c := p.newCaller(fmt.Sprintf("c%d", n), n)
		load.Go(func() { c.Run(loadContext) })
	}
	go p.stalls.run(loadContext)
	go p.owners.Watch(loadContext, caller.Keys())
	(&faults{p: p}).run(ctx, s.events)
	p.note("the last fault has ended")
	stopLoad()
	unserved := p.awaitService(ctx, recoveryTime(s))
	p.note("the service is back")
	load.Wait()
	return p.evidence(unserved), p.firstError()
}

func (p *play) newCaller(name string, number int) *caller.Caller {
	balancer := &caller.Balancer{}
	for _, i := range p.instances {
		balancer.Instances = append(balancer.Instances, i.caller)
	}
	return &caller.Caller{
		Name: fmt.Sprintf("%d-%s", p.seed, name), Domain: domainName(number % min(domainCount, len(p.instances))), Balancer: balancer, Routes: routes(), Log: &p.attempts,
		OnFault: p.addStray, Slow: p.options.Theme == slowCallersTheme && number%2 == 0, AtThresholds: p.options.Theme == earlyAnswersTheme, Random: rand.New(rand.NewPCG(p.seed, uint64(100+number))),
	}
}

func (p *play) instanceNames() []string {
	var names []string
	for _, i := range p.instances {
		names = append(names, i.name)
	}
	return names
}

// fail records an error of the soak itself.
func (p *play) fail(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errors = append(p.errors, err)
}

func (p *play) firstError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.errors) == 0 {
		return nil
	}
	return p.errors[0]
}
