// Package ports finds free loopback ports for programs that start later.
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
	// maxTries bounds the search for free ports.
	maxTries = 1000
)

// FreeAddresses returns count addresses of 127.0.0.1 whose ports are free.
func FreeAddresses(count int) ([]string, error) {
	return FreeAddressesOf("127.0.0.1", count)
}

// FreeAddressesOf returns count addresses of a loopback host whose ports are free. All
// of them stay open until the last is found, so that they differ.
func FreeAddressesOf(host string, count int) ([]string, error) {
	var addresses []string
	for range maxTries {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, errors.Errorf("found only %d of %d free ports from %d to %d", len(addresses), count, firstPort, lastPort)
}
