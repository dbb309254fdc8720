package connbound

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func listen(t *testing.T, max int) (l *Listener, closed *int) {
	t.Helper()
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	closed = new(int)
	return Bound(raw, max, func() { *closed++ }), closed
}

func (l *Listener) connect(t *testing.T) (client net.Conn, accepted *Conn) {
	t.Helper()
	client, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client, c.(*Conn)
}

func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against more connections than the bound, and against one in use that is closed
// although another one is idle.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	l, closed := listen(t, 2)
	busy, busyAccepted := l.connect(t)
	idle, _ := l.connect(t)
	_, err := busyAccepted.Write([]byte("a"))
	is.NoErr(err)
	_, err = busy.Read(make([]byte, 1))
	is.NoErr(err)
	l.connect(t)
	is.Equal(*closed, 1)
	is.Equal(l.count.Load(), int64(2))
	is.True(isOpen(busy))
	is.True(!isOpen(idle))
}

// Guards against an admitted connection that is closed in favour of others, and against a
// connection that is counted off twice.
func TestAdmittedConnectionStaysOpen(t *testing.T) {
	is := is.New(t)
	l, closed := listen(t, 1)
	admitted, accepted := l.connect(t)
	accepted.Admit()
	is.Equal(l.count.Load(), int64(0))
	l.connect(t)
	l.connect(t)
	is.Equal(*closed, 1)
	is.True(isOpen(admitted))
	is.NoErr(accepted.Close())
	is.Equal(l.count.Load(), int64(1))
}
