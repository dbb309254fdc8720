package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

const (
	// entryProgram is the program under test.
	entryProgram = "peridotmoor-entry"
	// readinessMisses is how many failed probes leave an instance in rotation. The
	// platform probes once a second and allows one miss; these callers probe every 100 ms.
	readinessMisses = 15
	// addressesPerInstance counts the listen addresses of an instance and of its proxies.
	addressesPerInstance = 6
)

// instance is one entry instance over its processes.
type instance struct {
	name     string
	caller   *caller.Instance
	entry    *callers.EntryInstance
	launcher *programs.Launcher
	dir      string
	sockets  *processSockets
	settings map[string]string // addresses in the settings file, by name
	// peers is the proxy that other instances use to reach this one, store the one that
	// this instance uses to reach the store.
	peers, store *tcpproxy.Proxy

	// busy is held while planned work or a fault of the process is under way.
	busy sync.Mutex

	mu        sync.Mutex
	processes []check.Process
	child     *programs.Child
	// ended is closed when the process has ended and connections to it are refused.
	ended chan struct{}
}

func newInstance(number int, domain, storeAddress string, addresses []string, launcher *programs.Launcher, dir string, seed uint64, sockets *processSockets, sources tcpproxy.Sources) *instance {
	i := &instance{
		name: fmt.Sprintf("entry-%d", number), launcher: launcher, dir: dir, sockets: sockets,
		settings: map[string]string{"callers": addresses[0], "ready": addresses[1], "peers": addresses[2], "metrics": addresses[3]},
		peers:    tcpproxy.New(addresses[4], addresses[2], seed, sources),
		store:    tcpproxy.New(addresses[5], storeAddress, seed+1, fixedSource(domain)),
	}
	i.entry = &callers.EntryInstance{CallerAddress: addresses[0], OperatorAddress: addresses[1], ReadyPath: "/readiness", MaxMisses: readinessMisses}
	i.caller = &caller.Instance{Name: i.name, Domain: domain, Address: addresses[0], Ready: i.entry.Ready, Process: i.processCount}
	return i
}

// start starts a process of the instance. firstStart tells it that the whole fleet starts.
func (i *instance) start(firstStart bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	path, err := i.writeSettings(firstStart)
	if err != nil {
		return err
	}
	if err := i.peers.Open(); err != nil {
		return err
	}
	number := len(i.processes) + 1
	// A process of a large fleet needs no more than two threads for its share of the load.
	child, err := i.launcher.StartWithEnv([]string{"GOMAXPROCS=2"}, fmt.Sprintf("%s.%d", i.name, number), entryProgram, "--config", path)
	if err != nil {
		return err
	}
	i.sockets.add(child.PID(), i.caller.Domain)
	i.child, i.ended = child, make(chan struct{})
	i.processes = append(i.processes, check.Process{Instance: i.name, Number: number, StartedAt: time.Now()})
	go i.watch(child, number, i.ended)
	return nil
}

// watch records the end of a process. From then on connections to it are refused.
func (i *instance) watch(child *programs.Child, number int, ended chan<- struct{}) {
	defer close(ended)
	<-child.Done()
	i.peers.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	p := &i.processes[number-1]
	p.EndedAt = time.Now()
	if err := child.Err(); err != nil {
		p.Failure = err.Error()
	}
}

func (i *instance) writeSettings(firstStart bool) (string, error) {
	file := ini.Empty()
	set := func(section, name, value string) { file.Section(section).Key(name).SetValue(value) }
	set("instance", "name", i.name)
	set("instance", "domain", i.caller.Domain)
	set("instance", "first_start", fmt.Sprint(firstStart))
	set("instance", "processor_share", "0.5")
	for name, address := range i.settings {
		set("listen", name, address)
	}
	set("store", "address", i.store.Address())
	set("bounds", "grace_s", fmt.Sprint(check.GracePeriod.Seconds()))
	set("bounds", "retry_ratio", "0.2")
	set("bounds", "retry_extra", "64")
	set("bounds", "retry_window_s", "10")
	path := filepath.Join(i.dir, i.name+".ini")
	return path, errors.Wrap(file.SaveTo(path), "settings of "+i.name)
}

func (i *instance) processCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.processes)
}

// signal sends a signal to the process and records it. It returns the channel that is
// closed when the process has ended and connections to it are refused.
func (i *instance) signal(signal os.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := &i.processes[len(i.processes)-1]
	switch now := time.Now(); {
	case !p.EndedAt.IsZero():
	case signal == syscall.SIGTERM && p.StoppedAt.IsZero():
		p.StoppedAt = now
	case signal == syscall.SIGHUP:
		p.HangupAt = now
	case signal == syscall.SIGKILL:
		p.KilledAt = now
	}
	i.child.Signal(signal)
	return i.ended
}

func (i *instance) processRecords() []check.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]check.Process{}, i.processes...)
}
