// Package sockopt gives access to sockets beyond what package net supports.
package sockopt

import "syscall"

// Control sets options of a new socket, for net.Dialer and net.ListenConfig.
type Control = func(network, address string, raw syscall.RawConn) error

// Controls returns a Control that applies all of them in order, up to the first error.
func Controls(controls ...Control) Control {
	return func(network, address string, raw syscall.RawConn) error {
		for _, apply := range controls {
			if err := apply(network, address, raw); err != nil {
				return err
			}
		}
		return nil
	}
}
