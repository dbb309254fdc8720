// Package sockopt gives access to sockets beyond what package net supports.
package sockopt

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig that makes
// the kernel close connections on which sent data stays unacknowledged for the timeout.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err == nil {
			err = failure
		}
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
}
