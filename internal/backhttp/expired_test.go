package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/boottime"
)

// lateTimerContext has a deadline whose timer has not run yet.
type lateTimerContext struct {
	context.Context
	deadline time.Time
}

func (c lateTimerContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against a request that is written after its time, since the timer of its deadline
// was late or the machine was suspended, or that is written although the server may not get
// it any more, and against a connection lost for that.
func TestExpiredRequestIsNotWritten(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Time
		sendBy   boottime.Instant
		withheld bool
	}{
		"deadline passed, timer late":          {deadline: time.Now()},
		"suspended, before the deadline":       {deadline: time.Now().Add(time.Hour), sendBy: boottime.Now()},
		"suspended, without a deadline at all": {sendBy: boottime.Now()},
		"may no longer be written":             {withheld: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan string, 3)
			pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				for {
					got, ok := readRequest(r)
					if !ok {
						return
					}
					received <- got.Header.Get("Id")
					fmt.Fprint(conn, responseText(got.Header.Get("Id"), "whole"))
				}
			})
			_, err := pool.Do(context.Background(), newRequest("first")) // opens the connection
			is.NoErr(err)
			is.Equal(<-received, "first")
			ctx := context.Background()
			if !c.deadline.IsZero() {
				ctx = lateTimerContext{ctx, c.deadline}
			}
			late := newRequest("late")
			late.SendBy = c.sendBy
			late.MayWrite = func() bool { return !c.withheld }
			_, err = pool.Do(ctx, late)
			var failure *RequestError
			is.True(errors.As(err, &failure))
			is.Equal(failure.Expired, !c.withheld)
			is.Equal(failure.Withheld, c.withheld)
			is.True(!failure.Sent)
			_, err = pool.Do(context.Background(), newRequest("next"))
			is.NoErr(err)
			is.Equal(<-received, "next")
			is.Equal(pool.DialCount(), uint64(1))
		})
	}
}

// Guards against a request without a time to send it by that never leaves, or one that
// is held back before its time.
func TestRequestInTimeIsWritten(t *testing.T) {
	is := is.New(t)
	pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			fmt.Fprint(conn, responseText(got.Header.Get("Id"), "whole"))
		}
	})
	request := newRequest("a")
	request.SendBy = boottime.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := pool.Do(ctx, request)
	is.NoErr(err)
}

// Guards against a grant that a process writes when it goes on after a stop in the middle
// of a connection attempt, long after the deadline, since its timers run later.
func TestStoppedProcessDoesNotWriteLate(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	raw, err := listener.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })) // one connection fits, others wait
	filler, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer filler.Close()

	const timeout = 2 * time.Second // longer than the kernel waits before it tries to connect again
	child, lines := startChild(t, listener.Addr(), timeout)
	awaitLine(t, lines, "sending")
	awaitConnecting(t, listener.Addr().(*net.TCPAddr).Port)
	is.NoErr(child.Process.Signal(syscall.SIGSTOP))
	stopped := time.Now()
	is.NoErr(listener.(*net.TCPListener).SetDeadline(stopped.Add(time.Minute)))
	_, err = listener.Accept() // the filler's
	is.NoErr(err)
	accepted, err := listener.Accept() // the child's, which its kernel opens while it is stopped
	is.NoErr(err)
	defer accepted.Close()
	time.Sleep(time.Until(stopped.Add(timeout)))
	is.NoErr(child.Process.Signal(syscall.SIGCONT))
	n, err := accepted.Read(make([]byte, 1))
	is.Equal(n, 0) // bytes of the request
	is.True(err != nil)
}

// lateCancelContext is cancelled after it has been asked once.
type lateCancelContext struct {
	context.Context
	asked bool
}

func (c *lateCancelContext) Err() error {
	if c.asked {
		return context.Canceled
	}
	c.asked = true
	return nil
}

// Guards against an order that a holder writes after its tenure has ended, since the
// goroutine that should abort the connection had not run yet.
func TestRequestCancelledBeforeItsWriteIsNotWritten(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 2)
	pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			received <- got.Header.Get("Id")
			fmt.Fprint(conn, responseText(got.Header.Get("Id"), "whole"))
		}
	})
	_, err := pool.Do(&lateCancelContext{Context: context.Background()}, newRequest("cancelled"))
	var failure *RequestError
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent && !failure.Expired)
	_, err = pool.Do(context.Background(), newRequest("next"))
	is.NoErr(err)
	is.Equal(<-received, "next")
}

// awaitConnecting returns once a connection to the port of this machine has been asked for
// and not been answered.
func awaitConnecting(t *testing.T, port int) {
	t.Helper()
	const synSent = "02"
	remote := fmt.Sprintf(":%04X", port)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		sockets, err := os.ReadFile("/proc/self/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(sockets)) {
			if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[2], remote) && f[3] == synSent {
				return
			}
		}
	}
	t.Fatal("the child process has not tried to connect")
}
