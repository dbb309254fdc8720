package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Delivery is how far the kernel has come with what was written to a TCP connection.
type Delivery struct {
	// Unsent is how many bytes wait to be sent for the first time.
	Unsent int
	// Acked is how many bytes the peer has acknowledged in all.
	Acked uint64
	// Ended is set if the connection has ended on both sides, as after a reset.
	Ended bool
	// InFlight is how many segments are sent and not acknowledged.
	InFlight int
	// UnansweredProbes is how many probes of a closed window in a row have no answer.
	UnansweredProbes int
	// Window is how many bytes the peer takes at the moment.
	Window int
	// SinceSent is the time since a segment was last sent, also again, and SinceAck the time
	// since the last acknowledgement, also of nothing new.
	SinceSent, SinceAck time.Duration
}

// WindowClosed reports whether the peer is there and takes no more. A peer that has announced a
// window and has no memory for it answers what it drops with an acknowledgement of nothing new.
func (d Delivery) WindowClosed() bool {
	if d.InFlight > 0 {
		return d.Window == 0 && d.SinceAck <= d.SinceSent
	}
	return d.Unsent > 0
}

// DeliveryOf returns the delivery of a TCP connection. It is the zero value if it is not known.
func DeliveryOf(c net.Conn) (d Delivery) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return d
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return d
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection, which delivers nothing
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = Delivery{
				Unsent: int(info.Notsent_bytes), Acked: info.Bytes_acked, Ended: info.State == tcpClose, InFlight: int(info.Unacked), UnansweredProbes: int(info.Probes),
				Window: int(info.Snd_wnd), SinceSent: time.Duration(info.Last_data_sent) * time.Millisecond, SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
			}
		}
	})
	return d
}
