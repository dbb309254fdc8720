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

// Child is a program that was started.
type Child struct {
	name    string
	command *exec.Cmd
	log     *os.File
	// address is what the program says it listens on; only stand-ins say it.
	address chan string
	// done is closed when the program has ended, after err was set.
	done chan struct{}
	err  error
}

// watch collects the output and the end of a started program. The output goes
// to its log file as well.
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

// WaitListening returns the address that the program says it listens on.
func (c *Child) WaitListening(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case address := <-c.address:
		return address, nil
	case <-c.done:
		return "", errors.Errorf("%s ended before it listened: %v; see %s", c.name, c.err, c.log.Name())
	case <-ctx.Done():
		return "", errors.Errorf("%s did not listen in time; see %s", c.name, c.log.Name())
	}
}

// Kill ends the program at once.
func (c *Child) Kill() {
	_ = c.command.Process.Kill()
	<-c.done
}

// Stop asks the program to end and kills it when it takes too long. It
// reports whether the program ended by itself.
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

// PID returns the process ID of the program.
func (c *Child) PID() int {
	return c.command.Process.Pid
}
