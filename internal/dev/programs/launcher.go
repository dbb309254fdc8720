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

	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// Launcher starts the programs of one run and stops them at its end. The kernel
// kills them if the process of the run is killed.
type Launcher struct {
	bin string
	dir string
	// runOnThread passes functions to the thread that starts the programs. The kernel
	// sends the parent-death signal when that thread ends, so it lives as long as the run.
	runOnThread chan func()
	threadEnded chan struct{}

	mu           sync.Mutex
	started      []*Child
	reservations []*ports.Reservation
}

// NewLauncher returns a launcher of the programs in bin. Their logs go to dir.
// Callers must call Close.
func NewLauncher(bin, dir string) *Launcher {
	l := &Launcher{bin: bin, dir: dir, runOnThread: make(chan func()), threadEnded: make(chan struct{})}
	go l.serveStarts()
	return l
}

func (l *Launcher) serveStarts() {
	runtime.LockOSThread()
	defer close(l.threadEnded)
	for start := range l.runOnThread {
		start()
	}
}

// Start starts program with args. name names its log file.
func (l *Launcher) Start(name, program string, args ...string) (*Child, error) {
	return l.StartWithEnv(nil, name, program, args...)
}

// StartWithEnv is Start with environment variables (NAME=value) in addition to the
// inherited ones.
func (l *Launcher) StartWithEnv(environment []string, name, program string, args ...string) (*Child, error) {
	log, err := os.Create(filepath.Join(l.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	command := exec.Command(filepath.Join(l.bin, program), args...)
	command.Env = append(os.Environ(), environment...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "output pipe")
	}
	command.Stderr = command.Stdout
	child := &Child{name: name, command: command, log: log, address: make(chan string, 1), done: make(chan struct{})}
	if err := l.startCommand(command); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "cannot start %s; build the programs with make build", program)
	}
	go child.watch(output)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = append(l.started, child)
	return child, nil
}

// startCommand starts the command on the launcher's thread, with SIGKILL as its
// parent-death signal.
func (l *Launcher) startCommand(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	l.runOnThread <- func() { result <- command.Start() }
	return <-result
}

// AssignPorts assigns loopback addresses to each instance. They stay reserved until Close.
func (l *Launcher) AssignPorts(all []*Instance) error {
	reservation, err := ports.Reserve(3 * len(all))
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.reservations = append(l.reservations, reservation)
	l.mu.Unlock()
	free := reservation.Addresses
	for n, i := range all {
		i.CallerAddress, i.PeerAddress, i.OperatorAddress = free[3*n], free[3*n+1], free[3*n+2]
	}
	return nil
}

// CombinedOutput runs program to completion and returns its standard output and
// standard error. The end of ctx kills it.
func (l *Launcher) CombinedOutput(ctx context.Context, program string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(l.bin, program), args...)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	err := l.startCommand(command)
	if err == nil {
		err = command.Wait()
	}
	text := strings.TrimSpace(output.String())
	return text, errors.Wrapf(err, "%s %s: %s", program, strings.Join(args, " "), text)
}

// Close stops all programs concurrently and returns the names of those that had to be killed.
func (l *Launcher) Close() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var killed []string
	var stops sync.WaitGroup
	results := make([]bool, len(l.started))
	for i, child := range l.started {
		stops.Go(func() { results[i] = child.Stop() })
	}
	stops.Wait()
	for i, child := range l.started {
		if !results[i] {
			killed = append(killed, child.name)
		}
	}
	for _, reservation := range l.reservations {
		reservation.Release()
	}
	close(l.runOnThread)
	<-l.threadEnded
	return killed
}
