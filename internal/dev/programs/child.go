package programs

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Child is a child process that a Launcher started.
type Child struct {
	name    string
	command *exec.Cmd
	log     *os.File
	// address receives the listen address that the program prints; only stand-ins print one.
	address chan string
	// done is closed when the process has ended, after err was set.
	done chan struct{}
	err  error
}

// watch copies the output of the process to its log file, looks for the listen
// address in it and waits for the process to end.
func (c *Child) watch(output io.Reader) {
	defer close(c.done)
	defer c.log.Close()
	lines := bufio.NewScanner(io.TeeReader(output, c.log))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if address, found := strings.CutPrefix(lines.Text(), "listening "); found {
			select {
			case c.address <- address:
			default:
			}
		}
	}
	_, _ = io.Copy(c.log, output)
	c.err = c.command.Wait()
}

// WaitListening waits for the listen address that the program prints and returns it.
func (c *Child) WaitListening(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case address := <-c.address:
		return address, nil
	case <-c.done:
		return "", errors.Errorf("%s ended before it printed its listen address: %v; see %s", c.name, c.err, c.log.Name())
	case <-ctx.Done():
		return "", errors.Errorf("%s did not print its listen address in time; see %s", c.name, c.log.Name())
	}
}

// Kill sends SIGKILL and waits for the process to end.
func (c *Child) Kill() {
	_ = c.command.Process.Kill()
	<-c.done
}

// Stop sends SIGTERM, and SIGKILL after StopTimeout. It reports whether the
// process ended without SIGKILL.
func (c *Child) Stop() bool {
	_ = c.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(StopTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
		c.Kill()
		return false
	}
}

// Signal sends a signal to the process; one that has ended ignores it.
func (c *Child) Signal(signal os.Signal) {
	_ = c.command.Process.Signal(signal)
}

// Done returns a channel that is closed when the process has ended.
func (c *Child) Done() <-chan struct{} {
	return c.done
}

// Err returns how the process ended: nil after exit code 0. It must be called after the
// channel of Done is closed.
func (c *Child) Err() error {
	return c.err
}

func (c *Child) PID() int {
	return c.command.Process.Pid
}
