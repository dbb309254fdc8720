package wire

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// pipe returns a connection whose other end reads everything.
func pipe(t *testing.T) *Conn {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return &Conn{Conn: near}
}

func got(attempt *Attempt, conn net.Conn) {
	attempt.Trace().GotConn(httptrace.GotConnInfo{Conn: conn})
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
	got(&attempt, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	is.True(attempt.Written())
}

// Guards against a byte that is written after the request was claimed not sent.
func TestUnwrittenRequestIsNeverWritten(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	got(&attempt, conn)
	is.True(!attempt.Written())
	_, err := conn.Write([]byte("GET"))
	is.True(errors.Is(err, ErrSealed))
	is.True(!attempt.Written())
}

// Guards against a request that is called written because an earlier one on the
// same connection was.
func TestSecondRequestOnAConnection(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var first, second Attempt
	got(&first, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	got(&second, conn)
	is.True(!second.Written())
}

// Guards against a false "written" on an idle connection that the peer has closed.
func TestFailedFirstWriteLeavesTheRequestUnwritten(t *testing.T) {
	is := is.New(t)
	conn := pipe(t)
	var attempt Attempt
	got(&attempt, conn)
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
	got(&attempt, conn)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	is.NoErr(conn.Conn.Close())
	_, err = conn.Write([]byte("more"))
	is.True(err != nil)
	is.True(attempt.Written())
}

// Guards against a claim about connections whose writes are not counted.
func TestUncountedConnectionsCountAsWritten(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	var foreign Attempt
	got(&foreign, near)
	is.True(foreign.Written())
	var twice Attempt
	got(&twice, pipe(t))
	got(&twice, pipe(t))
	is.True(twice.Written())
}
