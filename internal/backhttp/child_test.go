package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Variables of the environment of a child process, which sends one request.
const (
	childAddress = "PERIDOTMOOR_TEST_CHILD_ADDRESS"
	childTimeout = "PERIDOTMOOR_TEST_CHILD_TIMEOUT"
)

// childBodyBytes is more than the receive buffer of smallBufferListener takes and less than
// the send buffer of a socket, so that the kernel of the child keeps the rest.
const childBodyBytes = 64 << 10

func TestMain(m *testing.M) {
	if address := os.Getenv(childAddress); address != "" {
		sendAsChild(address)
		return
	}
	os.Exit(m.Run())
}

// sendAsChild sends one request. It says "sending" before that and "written" once the
// kernel has all of it.
func sendAsChild(address string) {
	timeout, err := time.ParseDuration(os.Getenv(childTimeout))
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	fmt.Println("sending")
	_, err = NewPool(address, time.Minute, membudget.Default()).Do(ctx, &Request{
		Method:          http.MethodPost,
		Head:            fmt.Appendf(nil, "POST /grant HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", childBodyBytes),
		Body:            make([]byte, childBodyBytes),
		Remainder:       writtenReporter{},
		EndWithDeadline: true,
		Match:           func(http.Header) Match { return MatchProven },
	})
	fmt.Println("ended:", err)
}

// writtenReporter is an empty remainder, which is read once the body has been written.
type writtenReporter struct{}

func (writtenReporter) Read([]byte) (int, error) {
	fmt.Println("written")
	return 0, io.EOF
}

// startChild starts a child process that sends one request to address. It returns the
// process and what the child says.
func startChild(t *testing.T, address net.Addr, timeout time.Duration) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childAddress+"="+address.String(), childTimeout+"="+timeout.String())
	child.Stderr = os.Stderr
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = child.Process.Kill() // fails if it has ended
		_ = child.Wait()
	})
	return child, bufio.NewScanner(output)
}

// awaitLine returns once the child has said the line.
func awaitLine(t *testing.T, lines *bufio.Scanner, line string) {
	t.Helper()
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), line) {
			return
		}
	}
	t.Fatalf("the child process ended before it said %q", line)
}
