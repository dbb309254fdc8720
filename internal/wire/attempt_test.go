package wire

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// pipe returns a connection whose other end discards all data.
func pipe(t *testing.T) *Conn {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	return &Conn{Conn: local}
}

func useConn(attempt *Attempt, conn net.Conn) {
	attempt.trace().GotConn(httptrace.GotConnInfo{Conn: conn})
}

func TestRequestWithoutConnectionIsUnwritten(t *testing.T) {
	is := is.New(t)
	var attempt Attempt
	is.True(!attempt.Written())
}

func TestWrittenRequest(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	useConn(&attempt, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	is.True(attempt.Written())
}

// Guards against a write after the request was reported as not written.
func TestUnwrittenRequestIsNeverWritten(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	useConn(&attempt, conn)
	is.True(!attempt.Written())
	_, err := conn.Write([]byte("GET"))
	is.True(errors.Is(err, ErrSealed))
	is.True(!attempt.Written())
}

// Guards against a request that is reported as written because an earlier one on the
// same connection was.
func TestSecondRequestOnAConnection(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var first, second Attempt
	useConn(&first, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	useConn(&second, conn)
	is.True(!second.Written())
}

// Guards against a false "written" on an idle connection that the peer has closed.
func TestFailedFirstWriteLeavesTheRequestUnwritten(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	useConn(&attempt, conn)
	is.NoErr(conn.Conn.Close())
	_, err := conn.Write([]byte("GET"))
	is.True(err != nil)
	is.True(!attempt.Written())
}

// Guards against a false "not written" when a later write fails.
func TestFailedLaterWriteLeavesTheRequestWritten(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	useConn(&attempt, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	is.NoErr(conn.Conn.Close())
	_, err = conn.Write([]byte("more"))
	is.True(err != nil)
	is.True(attempt.Written())
}

// Guards against a false "not written" on connections whose writes are not tracked.
func TestUntrackedConnectionsCountAsWritten(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	var untracked Attempt
	useConn(&untracked, local)
	is.True(untracked.Written())
	var twoConnections Attempt
	useConn(&twoConnections, pipe(t))
	useConn(&twoConnections, pipe(t))
	is.True(twoConnections.Written())
}
