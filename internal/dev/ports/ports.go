// Package ports reserves loopback ports for programs that start later.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// The ports lie below the range from which Linux takes ports for outgoing
// connections (32768 and above): a port from that range, once found free, could
// be taken by a connection before its program listens on it, or listens again.
const (
	firstPort = 15000
	lastPort  = 31999
	// blockSize is the number of ports in a block, with the guard port.
	blockSize = 20
	blocks    = (lastPort + 1 - firstPort) / blockSize
)

// Reserve returns count addresses whose ports are free. The ports are taken from blocks.
// A reservation listens on the first port of its blocks, so that a test or program that
// starts at the same time takes its ports from other blocks, although nothing listens on
// the reserved ports yet.
func Reserve(count int) (*Reservation, error) {
	r := &Reservation{}
	start := rand.IntN(blocks)
	for n := 0; n < blocks && len(r.Addresses) < count; n++ {
		r.takeBlock(firstPort+(start+n)%blocks*blockSize, count)
	}
	if len(r.Addresses) < count {
		r.Release()
		return nil, errors.Errorf("found only %d of %d free ports from %d to %d; stop other programs that listen there", len(r.Addresses), count, firstPort, lastPort)
	}
	return r, nil
}

// takeBlock adds free ports of the block that starts at first, up to count addresses in
// total, unless another reservation has the block.
func (r *Reservation) takeBlock(first, count int) {
	guard, err := net.Listen("tcp", loopback(first))
	if err != nil {
		return
	}
	r.guards = append(r.guards, guard)
	for port := first + 1; port < first+blockSize && len(r.Addresses) < count; port++ {
		if isFree(port) {
			r.Addresses = append(r.Addresses, loopback(port))
		}
	}
}

// isFree reports whether no program listens on the port.
func isFree(port int) bool {
	listener, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
