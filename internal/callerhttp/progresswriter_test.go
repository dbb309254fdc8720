package callerhttp

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullConn is a connection whose buffer has no room for a number of writes.
type fullConn struct {
	net.Conn
	writes, fullFor int
}

func (c *fullConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes <= c.fullFor {
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

func (*fullConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against cutting a response whose slow caller acknowledges bytes although the
// socket has no room for more, and against waiting for a caller who takes nothing.
func TestAcknowledgementsAreProgress(t *testing.T) {
	is := is.New(t)
	queued, progress := 100*stallChecks, 0
	slow := &fullConn{fullFor: 10 * stallChecks}
	n, err := progressWriter{slow, func() int { queued--; return queued }, func() { progress++ }}.Write([]byte("abc"))
	is.NoErr(err)
	is.Equal(n, 3)
	is.Equal(progress, 10*stallChecks)

	stuck := &fullConn{fullFor: 10 * stallChecks}
	_, err = progressWriter{stuck, func() int { return 100 }, func() { t.Error("no progress was made") }}.Write([]byte("abc"))
	is.True(isTimeout(err))
	is.Equal(stuck.writes, stallChecks)
}
