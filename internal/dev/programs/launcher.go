package programs

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Launcher are all programs that one run has started. They are killed by the
// kernel when the run itself is killed.
type Launcher struct {
	bin string
	dir string
	// runOnThread carries work to the thread that runOnThread programs. The kernel ties
	// the death signal to that thread, so it lives as long as the run.
	runOnThread chan func()
	threadEnded chan struct{}

	mu      sync.Mutex
	started []*Child
}

// NewLauncher returns a starter of programs in bin whose logs go to dir. End it with Close.
func NewLauncher(bin, dir string) *Launcher {
	c := &Launcher{bin: bin, dir: dir, runOnThread: make(chan func()), threadEnded: make(chan struct{})}
	go c.serveStarts()
	return c
}

func (c *Launcher) serveStarts() {
	runtime.LockOSThread()
	defer close(c.threadEnded)
	for start := range c.runOnThread {
		start()
	}
}

// Start starts program as name with args.
func (c *Launcher) Start(name, program string, args ...string) (*Child, error) {
	return c.StartWithEnv(nil, name, program, args...)
}

// StartWithEnv starts program as name with args and with environment variables
// (NAME=value) on top of the inherited ones.
func (c *Launcher) StartWithEnv(environment []string, name, program string, args ...string) (*Child, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	command := exec.Command(filepath.Join(c.bin, program), args...)
	command.Env = append(os.Environ(), environment...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "output pipe")
	}
	command.Stderr = command.Stdout
	child := &Child{name: name, command: command, log: log, address: make(chan string, 1), done: make(chan struct{})}
	if err := c.startCommand(command); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "cannot start %s; build the programs with make build", program)
	}
	go child.watch(output)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = append(c.started, child)
	return child, nil
}

// startCommand starts the command on the thread of the starter.
func (c *Launcher) startCommand(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	c.runOnThread <- func() { result <- command.Start() }
	return <-result
}

// CombinedOutput runs program to its end and returns what it wrote. The end of ctx kills it.
func (c *Launcher) CombinedOutput(ctx context.Context, program string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(c.bin, program), args...)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	err := c.startCommand(command)
	if err == nil {
		err = command.Wait()
	}
	text := strings.TrimSpace(output.String())
	return text, errors.Wrapf(err, "%s %s: %s", program, strings.Join(args, " "), text)
}

// Close stops all programs at once and returns those that had to be killed.
func (c *Launcher) Close() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var killed []string
	var stops sync.WaitGroup
	results := make([]bool, len(c.started))
	for i, child := range c.started {
		stops.Go(func() { results[i] = child.Stop() })
	}
	stops.Wait()
	for i, child := range c.started {
		if !results[i] {
			killed = append(killed, child.name)
		}
	}
	close(c.runOnThread)
	<-c.threadEnded
	return killed
}
