package backhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallBufferListener returns a listener whose connections receive little until they are
// read. The sender's kernel keeps the rest, as it keeps what a cut network does not deliver.
func smallBufferListener(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Guards against a grant that reaches its server after the holder's process was killed:
// the kernel went on sending what it had not delivered.
func TestKernelDropsTheRequestOfAKilledProcess(t *testing.T) {
	is := is.New(t)
	listener := smallBufferListener(t)
	child, lines := startChild(t, listener.Addr(), time.Minute)
	server, err := listener.Accept()
	is.NoErr(err)
	defer server.Close()
	awaitLine(t, lines, "written")
	is.NoErr(child.Process.Kill())
	_, _ = child.Process.Wait() // the kernel has closed its sockets by then
	is.True(!receivesWhole(server))
}

// Guards against a grant that reaches its server after its deadline, although the holder's
// process was stopped after the write and cannot end the connection: the kernel went on.
func TestKernelDropsTheRequestOfAStoppedProcessAtItsDeadline(t *testing.T) {
	is := is.New(t)
	listener := smallBufferListener(t)
	const timeout = 400 * time.Millisecond
	child, lines := startChild(t, listener.Addr(), timeout)
	server, err := listener.Accept()
	is.NoErr(err)
	defer server.Close()
	awaitLine(t, lines, "written")
	is.NoErr(child.Process.Signal(syscall.SIGSTOP))
	time.Sleep(unackedTimeout - 100*time.Millisecond) // past the deadline, and before other limits
	is.True(!receivesWhole(server))
}

// receivesWhole reads from the connection and reports whether a whole request arrives.
func receivesWhole(c net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}
