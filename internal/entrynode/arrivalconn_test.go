package entrynode

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// arrivalConn knows when the kernel received the bytes that were read last. On a busy
// machine, that may be long before the process gets to read them.
type arrivalConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	arrivedAt atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *arrivalConn) Read(p []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))
	var n, controlBytes int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		for {
			if n, controlBytes, _, _, readErr = unix.Recvmsg(int(fd), p, control, 0); readErr != unix.EINTR {
				return readErr != unix.EAGAIN
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	c.arrivedAt.Store(arrivalOf(control[:controlBytes]))
	return n, nil
}

// arrivalOf returns the time in the control messages of a read, which is now if the
// kernel gave none.
func arrivalOf(control []byte) *time.Time {
	now := time.Now()
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return &now
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
			arrived := time.Unix((*unix.Timespec)(unsafe.Pointer(&m.Data[0])).Unix())
			at := now.Add(-now.Sub(arrived)) // with the monotonic clock of now
			return &at
		}
	}
	return &now
}
