package sockopt

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against megabytes that the kernel keeps for a peer that does not read, on a
// connection that was accepted or dialed.
func TestUnsentLimit(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialer := net.Dialer{Control: LimitUnsent}
	near, err := dialer.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer near.Close()
	far, err := listener.Accept()
	is.NoErr(err)
	defer far.Close()
	is.NoErr(LimitUnsentOf(far))
	is.NoErr(LimitUnsentOf(nil))
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		is.NoErr(pair[1].(*net.TCPConn).SetReadBuffer(4 << 10))
		is.NoErr(pair[0].SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
		taken, part := 0, make([]byte, 16<<10)
		for err == nil {
			var n int
			n, err = pair[0].Write(part)
			taken += n
		}
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		err = nil
		is.True(taken < 8*unsentLimit) // with what the peer's receive buffer holds
	}
}
