// Package sockopt sets socket options that package net does not offer.
package sockopt

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package lacks.
const tcpUserTimeout = 0x12

// UserTimeout returns a control function for net.Dialer and net.ListenConfig that
// ends connections whose bytes stay unacknowledged for the timeout.
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
