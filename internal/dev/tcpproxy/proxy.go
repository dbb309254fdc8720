// Package tcpproxy is a TCP proxy on loopback that injects faults into the connections
// between two processes.
package tcpproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds connecting to the target, which is on loopback.
	dialTimeout = time.Second
	// listenTimeout bounds the tries to listen on an address that is in use. A process that
	// is being started holds a copy of a listener that was closed meanwhile, until its exec.
	listenTimeout = 2 * time.Second
	listenPause   = 10 * time.Millisecond
)

// Proxy accepts connections at its address and passes them on to its target.
type Proxy struct {
	address string
	target  string
	// sources is nil if the proxy does not tell its connections apart.
	sources Sources

	mu     sync.Mutex
	random *rand.Rand
	fault  Fault
	// bySource holds the faults of all connections from a source, which go before fault.
	bySource map[string]Fault
	listener net.Listener
	// accepting is closed when the listener's goroutine has ended.
	accepting chan struct{}
	links     map[*link]bool
}

// New returns a proxy that is not open yet. The seed decides which connections a fault
// affects. Without sources, which may be nil, SetSourceFaults has no effect.
func New(address, target string, seed uint64, sources Sources) *Proxy {
	return &Proxy{address: address, target: target, sources: sources, random: rand.New(rand.NewPCG(seed, 0)), links: map[*link]bool{}}
}

// Address returns host:port at which the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// Open starts to accept connections.
func (p *Proxy) Open() error {
	listener, err := net.Listen("tcp4", p.address)
	for start := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(start) < listenTimeout; {
		time.Sleep(listenPause)
		listener, err = net.Listen("tcp4", p.address)
	}
	if err != nil {
		return errors.Wrap(err, "proxy cannot listen; check that the address is free")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener, p.accepting = listener, make(chan struct{})
	go p.accept(listener, p.accepting)
	return nil
}

// Close stops accepting connections, so that further ones are refused, and resets the
// open ones, as the end of the target's process does. The proxy may be opened again.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		<-p.accepting // until then the kernel may still complete connections
		p.listener = nil
	}
	for l := range p.links {
		l.reset()
	}
}

// SetFault applies a fault to a share of the open connections and of those to come,
// until it is replaced. The zero Fault ends it.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	for l := range p.links {
		if _, found := p.bySource[l.source]; !found {
			l.setFault(p.draw(l.source))
		}
	}
}

// SetSourceFaults replaces the faults of connections by source. They affect all
// connections, open or to come, from their sources.
func (p *Proxy) SetSourceFaults(faults map[string]Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.bySource
	p.bySource = faults
	for l := range p.links {
		if l.source == "" || faults[l.source] != old[l.source] {
			l.setFault(p.draw(l.source))
		}
	}
}

// draw returns the fault of one connection from the source. The caller holds the lock.
func (p *Proxy) draw(source string) Fault {
	if fault, found := p.bySource[source]; found {
		return fault
	}
	if p.sources != nil && source == "" && len(p.bySource) > 0 {
		return Fault{Kind: FaultReset} // its client has ended already, or may be one that a fault affects
	}
	fault := p.fault
	if fault.Kind == "" || p.random.Float64() >= fault.Share {
		return Fault{}
	}
	if fault.Kind == FaultReset {
		fault.Delay = time.Duration(p.random.Float64() * float64(fault.Delay))
	}
	return fault
}

func (p *Proxy) accept(listener net.Listener, ended chan<- struct{}) {
	defer close(ended)
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client.(*net.TCPConn), listener)
	}
}

func (p *Proxy) serve(client *net.TCPConn, listener net.Listener) {
	server, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	source := ""
	if p.sources != nil {
		source = p.sources.Source(client.RemoteAddr(), client.LocalAddr())
	}
	l := p.add(client, server.(*net.TCPConn), listener, source)
	l.run()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// add creates the link of a connection from the source that listener has accepted.
func (p *Proxy) add(client, server *net.TCPConn, listener net.Listener, source string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := newLink(client, server, source, p.draw(source))
	p.links[l] = true
	if p.listener != listener {
		l.reset()
	}
	return l
}
