package backhttp

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// floodLimitBytes is how much a server may send before a test counts it as unlimited.
const floodLimitBytes = 16 * maxBufferedBytes

// testMachineMemory is that of the smallest machine that runs an instance.
const testMachineMemory = 144 << 20

// pipeServer is the server's end of one in-memory connection, which has no buffer: a byte
// counts as written only when the client has read it.
type pipeServer struct {
	net.Conn
	written atomic.Int64
}

// newPipePool returns a pool that has one idle connection, to a server that reads one
// request, runs script and then waits for the client to close the connection. The
// returned channel is closed after that. It is meant for tests in a synctest bubble,
// where a connection or goroutine that is left is reported as a deadlock.
func newPipePool(t *testing.T, script func(s *pipeServer)) (*Pool, *pipeServer, <-chan struct{}) {
	t.Helper()
	client, raw := net.Pipe()
	server, closed := &pipeServer{Conn: raw}, make(chan struct{})
	go func() {
		defer close(closed)
		defer raw.Close()
		r := bufio.NewReader(raw)
		if _, ok := readRequest(r); !ok {
			return
		}
		script(server)
		_, _ = r.ReadByte() // returns when the client has closed the connection
	}()
	pool := NewPool("", time.Second, membudget.New(membudget.LimitsFor(testMachineMemory)))
	c := newConn(client)
	c.idleSince = time.Now()
	pool.put(c)
	return pool, server, closed
}

// Write counts the bytes that the client has read.
func (s *pipeServer) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written.Add(int64(n))
	return n, err
}

// send writes the text as far as the client reads it.
func (s *pipeServer) send(text string) {
	_, _ = s.Write([]byte(text)) // fails if the client closes the connection
}

// flood writes start and then unit again and again, as fast as the client reads, until
// the client closes the connection. It gives up after floodLimitBytes, so that a test
// fails without using up the memory.
func (s *pipeServer) flood(start, unit string) {
	next := []byte(start)
	for s.written.Load() < floodLimitBytes {
		if _, err := s.Write(next); err != nil {
			return
		}
		next = []byte(unit)
	}
	_ = s.Close() // the test sees how much was read
}

// trickle writes start at once and then unit again and again, a byte a second, until the
// client closes the connection. It gives up after an hour, so that a test ends.
func (s *pipeServer) trickle(start, unit string) {
	if _, err := s.Write([]byte(start)); err != nil {
		return
	}
	for i := range int(time.Hour / time.Second) {
		time.Sleep(time.Second)
		if _, err := s.Write([]byte{unit[i%len(unit)]}); err != nil {
			return
		}
	}
	_ = s.Close() // the test sees how long it took
}
