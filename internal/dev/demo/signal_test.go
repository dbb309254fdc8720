package demo_test

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endTimeout limits the wait for programs that keep running, so that the test can report them.
const endTimeout = 20 * time.Second

// Guards against programs that keep running after a demo was ended by a signal,
// including SIGKILL, which it cannot catch.
func TestSignalledDemoEndsItsPrograms(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := options(t, "")
			// Every program inherits the write end of the pipe, so the read end
			// reaches end of file when the last program has ended.
			read, write, err := os.Pipe()
			is.NoErr(err)
			defer read.Close()
			command := exec.Command(filepath.Join(o.Bin, "peridotmoor-dev"), "demo", "--bin", o.Bin, "--settings", o.Settings, "--dir", o.Dir)
			command.ExtraFiles = []*os.File{write}
			output, err := command.StdoutPipe()
			is.NoErr(err)
			is.NoErr(command.Start())
			is.NoErr(write.Close())
			is.True(skipTo(output, "sending"))
			is.NoErr(command.Process.Signal(signal))
			_, _ = io.Copy(io.Discard, output)
			is.True(command.Wait() != nil)
			if !ended(read) {
				killAll(o.Bin)
				t.Fatal("programs were left behind")
			}
		})
	}
}

// skipTo reads lines until one contains text, and reports whether one did.
func skipTo(output io.Reader, text string) bool {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return true
		}
	}
	return false
}

// ended waits for end of file and reports whether it came within endTimeout.
func ended(read *os.File) bool {
	_ = read.SetReadDeadline(time.Now().Add(endTimeout))
	_, err := read.Read(make([]byte, 1))
	return err == io.EOF
}

// killAll ends the programs that the test has started.
func killAll(bin string) {
	pids, _ := os.ReadDir(filepath.Join(bin, "pids"))
	for _, entry := range pids {
		if pid, err := strconv.Atoi(entry.Name()); err == nil {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}
