package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
	"peridotmoor.org/peridotmoor/internal/holder"
)

const (
	// drainTime is how long a backend server serves after it has announced that it leaves.
	drainTime = 2 * time.Second
	// shedShare is the share of its requests that a shedding server turns away.
	shedShare = 0.5
	// maxStartAge is the greatest age of a process at the SIGTERM of a stop at start.
	maxStartAge = 300 * time.Millisecond
	// slowStopTime and slowRunTime are for how long a slow process stands still and runs in turn.
	slowStopTime = 60 * time.Millisecond
	slowRunTime  = 30 * time.Millisecond
	// farStoreDelay is the delay in each direction to a store that is far: a read of its two
	// parts one after the other takes 0.8 s. After farStoreTime it does not answer for
	// silentStoreTime, which a read may just run into.
	farStoreDelay   = 200 * time.Millisecond
	farStoreTime    = 1500 * time.Millisecond
	silentStoreTime = 500 * time.Millisecond
	// slowStoreDelay is the delay of each call to a slow store.
	slowStoreDelay = 300 * time.Millisecond
)

// faults carries out the events of a schedule.
type faults struct {
	p       *play
	running sync.WaitGroup
	// storeFault is held while the store as a whole is impaired.
	storeFault sync.Mutex
	// domainOut is held while a failure domain is taken out.
	domainOut sync.Mutex
}

// run starts each event at its time and returns after the last one has ended.
func (f *faults) run(ctx context.Context, events []event) {
	start := time.Now()
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		f.running.Go(func() { f.carryOut(ctx, e) })
	}
	f.running.Wait()
}

func (f *faults) carryOut(ctx context.Context, e event) {
	f.p.note("%s", e)
	switch e.kind {
	case eventConfigure, eventConfigureTwin:
		f.configure(e)
	case eventStoreDown, eventStoreSlow, eventStoreLost:
		f.impairStore(e)
	case eventStoreCopy:
		f.restoreStore(e)
	case eventOddEntries, eventSpoilRecord, eventSpoilHolder, eventSpoilConfig:
		f.writeOddly(e)
	case eventDomainCut:
		f.cutDomain(ctx, e)
	case eventDomainOut:
		f.takeOut(ctx, e)
	case eventServerFault, eventServerCrash, eventServerDrain, eventServerLeave, eventServerRetire, eventServerLimit, eventServerShed:
		f.impairServer(ctx, e)
	default:
		f.impairInstances(e)
	}
}

// configure writes a version once the store accepts one.
func (f *faults) configure(e event) {
	f.storeFault.Lock()
	defer f.storeFault.Unlock()
	f.p.fail(f.p.configuration.next())
	if e.kind == eventConfigureTwin {
		time.Sleep(e.length / 4)
		f.p.fail(f.p.configuration.next())
	}
}

func (f *faults) impairStore(e event) {
	f.storeFault.Lock()
	defer f.storeFault.Unlock()
	defer f.p.impairments.Begin(check.Store)()
	injected := f.p.kv.Store().Faults()
	switch e.kind {
	case eventStoreDown:
		injected.SetUnavailable(true)
		defer injected.SetUnavailable(false)
	case eventStoreSlow:
		injected.SetDelay(slowStoreDelay)
		defer injected.SetDelay(0)
	case eventStoreLost:
		for range 1 + len(f.p.instances)/3 {
			injected.LoseNextResponse()
		}
	}
	time.Sleep(e.length)
}

func (f *faults) impairServer(ctx context.Context, e event) {
	busy := &f.p.serversBusy[e.targets[0]]
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	s := f.p.servers[e.targets[0]]
	id := s.ID()
	switch e.kind {
	case eventServerFault:
		defer f.p.impairments.Begin(id)()
		s.SetFault(e.fault)
		defer s.SetFault(tcpproxy.Fault{})
		time.Sleep(e.length)
		return
	case eventServerCrash:
		f.p.impairments.Begin(id) // has no end
		s.Crash()
	case eventServerLimit:
		f.p.addLimit(s.NameLimit(e.rate, e.length))
		return
	case eventServerShed:
		s.Shed(shedShare, e.pause, e.length)
		return
	case eventServerLeave:
		s.Leave(drainTime + e.length)
		f.p.impairments.Begin(id) // has no end
	case eventServerRetire:
		s.Retire(ctx, drainTime+e.length, f.p.addDeparture)
		f.p.impairments.Begin(id) // has no end
	case eventServerDrain:
		s.Drain(ctx, drainTime)
		f.p.impairments.Begin(id) // has no end
	}
	time.Sleep(e.pause)
	f.p.fail(s.Start())
}

// impairInstances carries out an event of one or several instances, unless another one
// is under way there.
func (f *faults) impairInstances(e event) {
	for n, target := range e.targets {
		if n > 0 {
			time.Sleep(e.pause / 2)
		}
		i := f.instance(target)
		f.running.Go(func() {
			if e.kind == eventHangup {
				i.signal(syscall.SIGHUP)
				return
			}
			if !i.busy.TryLock() {
				f.p.note("%s: %s is skipped, as another event is under way", i.name, e.kind)
				return
			}
			defer i.busy.Unlock()
			f.impairInstance(i, e)
		})
	}
}

func (f *faults) impairInstance(i *instance, e event) {
	switch e.kind {
	case eventStop, eventStopSeveral:
		f.stop(i, 0)
		time.Sleep(e.pause)
		f.p.fail(i.start(false))
	case eventStopTwice:
		f.stop(i, e.length)
		time.Sleep(e.pause)
		f.p.fail(i.start(false))
	case eventStopAtStart:
		f.stop(i, 0)
		f.p.fail(i.start(false))
		time.Sleep(e.pause % maxStartAge)
		f.stop(i, 0)
		f.p.fail(i.start(false))
	case eventKill:
		defer f.p.impairments.Begin(i.name)()
		<-i.signal(syscall.SIGKILL)
		time.Sleep(e.pause)
		f.p.fail(i.start(false))
	case eventPause:
		defer f.p.impairments.Begin(i.name, check.Freeze(i.name))()
		i.signal(syscall.SIGSTOP)
		time.Sleep(e.length)
		i.signal(syscall.SIGCONT)
	case eventSlow:
		defer f.p.impairments.Begin(i.name, check.Freeze(i.name))()
		for end := time.Now().Add(e.length); time.Now().Before(end); time.Sleep(slowRunTime) {
			i.signal(syscall.SIGSTOP)
			time.Sleep(slowStopTime)
			i.signal(syscall.SIGCONT)
		}
	case eventStoreCut:
		defer f.p.impairments.Begin(i.name)()
		i.store.SetFault(e.fault)
		defer i.store.SetFault(tcpproxy.Fault{})
		time.Sleep(e.length)
	case eventStoreFar:
		defer f.p.impairments.Begin(i.name)()
		defer i.store.SetFault(tcpproxy.Fault{})
		for end := time.Now().Add(e.length); time.Now().Before(end); {
			i.store.SetFault(tcpproxy.Fault{Kind: tcpproxy.FaultDelay, Share: 1, Delay: farStoreDelay})
			time.Sleep(farStoreTime)
			i.store.SetFault(tcpproxy.Fault{Kind: tcpproxy.FaultSilentResponses, Share: 1})
			time.Sleep(silentStoreTime)
		}
	case eventPeerFault:
		// The instance may be the holder, to which all others are connected.
		defer f.p.impairments.Begin(f.p.instanceNames()...)()
		i.peers.SetFault(e.fault)
		defer i.peers.SetFault(tcpproxy.Fault{})
		time.Sleep(e.length)
	}
}

// instance returns the target of an event.
func (f *faults) instance(target int) *instance {
	if target != holderTarget {
		return f.p.instances[target]
	}
	var identity holder.Identity
	entry, err := f.p.kv.Store().Get(context.Background(), holder.KeyHolder)
	if err == nil {
		err = json.Unmarshal(entry.Value, &identity)
	}
	for _, i := range f.p.instances {
		if err == nil && i.name == identity.Name {
			f.p.note("the holder is %s", i.name)
			return i
		}
	}
	f.p.note("no holder is known: %s", fmt.Sprint(err))
	return f.p.instances[0]
}
