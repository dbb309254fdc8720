package sockopt

import (
	"syscall"

	"github.com/pkg/errors"
)

// ResetOnClose is a Control that makes the kernel reset connections instead of closing
// them, also when it closes them because the process has ended. The kernel then discards
// bytes that it has not delivered. Otherwise it would go on sending them.
func ResetOnClose(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	if err == nil {
		err = failure
	}
	return errors.Wrap(err, "set SO_LINGER")
}
