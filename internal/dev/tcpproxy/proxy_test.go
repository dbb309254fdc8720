package tcpproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"syscall"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// quiet is how long a test waits for bytes that must not arrive.
const quiet = 50 * time.Millisecond

// connect returns a proxy and both ends of a connection through it.
func connect(t *testing.T) (p *Proxy, client, server *net.TCPConn) {
	t.Helper()
	return connectFrom(t, nil)
}

// connectFrom is connect with a proxy that tells its connections apart.
func connectFrom(t *testing.T, sources Sources) (p *Proxy, client, server *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	reserved, err := ports.Reserve(1)
	is.NoErr(err)
	t.Cleanup(reserved.Release)
	p = New(reserved.Addresses[0], listener.Addr().String(), 1, sources)
	is.NoErr(p.Open())
	t.Cleanup(p.Close)
	near, err := net.Dial("tcp4", p.Address())
	is.NoErr(err)
	far, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { near.Close(); far.Close() })
	client, server = near.(*net.TCPConn), far.(*net.TCPConn)
	pass(t, client, server) // the proxy has registered the connection
	return p, client, server
}

// pass sends one byte and waits for its arrival.
func pass(t *testing.T, from, to net.Conn) {
	t.Helper()
	_, err := from.Write([]byte("x"))
	if err == nil {
		_, err = io.ReadFull(to, make([]byte, 1))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// arrives reports whether a byte arrives before quiet has passed.
func arrives(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(quiet))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	n, _ := c.Read(make([]byte, 1))
	return n > 0
}

// Guards against a silence that passes bytes on, holds the other direction, or loses
// the held bytes when it ends.
func TestSilence(t *testing.T) {
	for kind, passes := range map[FaultKind][2]bool{
		FaultSilentRequests:  {false, true},
		FaultSilentResponses: {true, false},
		FaultSilent:          {false, false},
	} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			p, client, server := connect(t)
			p.SetFault(Fault{Kind: kind, Share: 1})
			for i, ends := range [][2]net.Conn{{client, server}, {server, client}} {
				_, err := ends[0].Write([]byte("y"))
				is.NoErr(err)
				is.Equal(arrives(ends[1]), passes[i])
			}
			p.SetFault(Fault{})
			for i, end := range []net.Conn{server, client} {
				if !passes[i] {
					_, err := io.ReadFull(end, make([]byte, 1))
					is.NoErr(err)
				}
			}
		})
	}
}

// Guards against bytes that are delivered after their sender has reset the connection
// during a silence.
func TestResetDropsHeldBytes(t *testing.T) {
	is := is.New(t)
	p, client, server := connect(t)
	p.SetFault(Fault{Kind: FaultSilent, Share: 1})
	_, err := client.Write([]byte("y"))
	is.NoErr(err)
	is.True(!arrives(server))
	is.NoErr(client.SetLinger(0))
	is.NoErr(client.Close())
	is.True(!arrives(server))
	p.SetFault(Fault{})
	n, err := server.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a closed proxy that accepts connections or keeps open ones, and one
// that cannot be opened again.
func TestCloseAndOpen(t *testing.T) {
	is := is.New(t)
	p, client, _ := connect(t)
	p.Close()
	_, err := client.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = net.Dial("tcp4", p.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(p.Open())
	again, err := net.Dial("tcp4", p.Address())
	is.NoErr(err)
	is.NoErr(again.Close())
}

// Guards against half-closes that are not passed on, and against resets that look like
// regular closes.
func TestCloseAndResetArePassedOn(t *testing.T) {
	is := is.New(t)
	p, client, server := connect(t)
	is.NoErr(client.CloseWrite())
	_, err := server.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	pass(t, server, client)
	p.SetFault(Fault{Kind: FaultReset, Share: 1})
	_, err = client.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a delay that is not applied, and against a fault of no connection.
func TestDelayAndShare(t *testing.T) {
	is := is.New(t)
	p, client, server := connect(t)
	p.SetFault(Fault{Kind: FaultSilent, Share: 0})
	pass(t, client, server)
	p.SetFault(Fault{Kind: FaultDelay, Share: 1, Delay: 2 * quiet})
	start := time.Now()
	pass(t, client, server)
	is.True(time.Since(start) >= 2*quiet)
}

// oneSource names the same source for all connections.
type oneSource string

func (s oneSource) Source(net.Addr, net.Addr) string { return string(s) }

// Guards against faults of one source that affect another, or that end with a fault of all connections.
func TestFaultsOfASource(t *testing.T) {
	is := is.New(t)
	p, client, server := connectFrom(t, oneSource("a"))
	p.SetSourceFaults(map[string]Fault{"b": {Kind: FaultSilent}})
	pass(t, client, server)
	p.SetSourceFaults(map[string]Fault{"a": {Kind: FaultSilentRequests}})
	_, err := client.Write([]byte("y"))
	is.NoErr(err)
	is.True(!arrives(server))
	pass(t, server, client)
	p.SetFault(Fault{})
	is.True(!arrives(server))
	p.SetSourceFaults(nil)
	_, err = io.ReadFull(server, make([]byte, 1))
	is.NoErr(err)
	p.SetSourceFaults(map[string]Fault{"a": {Kind: FaultReset}})
	_, err = client.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against bytes that pass before a reset without delay.
func TestNothingPassesBeforeAResetWithoutDelay(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	reserved, err := ports.Reserve(1)
	is.NoErr(err)
	defer reserved.Release()
	p := New(reserved.Addresses[0], listener.Addr().String(), 1, oneSource("a"))
	is.NoErr(p.Open())
	defer p.Close()
	p.SetSourceFaults(map[string]Fault{"a": {Kind: FaultReset}})
	for range 300 {
		near, err := net.Dial("tcp4", p.Address())
		if err != nil {
			continue // reset
		}
		_, _ = near.Write([]byte("y"))
		far, err := listener.Accept()
		is.NoErr(err)
		n, _ := far.Read(make([]byte, 1))
		is.Equal(n, 0)
		near.Close()
		far.Close()
	}
}

// Guards against a connection of an unknown client that passes while others are cut off.
func TestConnectionsOfUnknownSourceAreResetDuringACut(t *testing.T) {
	is := is.New(t)
	p, client, _ := connectFrom(t, oneSource(""))
	p.SetSourceFaults(map[string]Fault{"a": {Kind: FaultSilent}})
	_ = client.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := client.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
