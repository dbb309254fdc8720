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

// endLimit bounds the wait for programs that are left behind, so that the failure is reported.
const endLimit = 20 * time.Second

// Guards against programs that outlive a demo which was ended by a signal,
// even one that it cannot catch.
func TestSignalledDemoLeavesNoProgram(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := options(t, "")
			// Every program inherits the write end, so the read end reports
			// its end of file when the last of them has ended.
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

// skipTo reads lines until one contains text.
func skipTo(output io.Reader, text string) bool {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return true
		}
	}
	return false
}

// ended waits for the end of file.
func ended(read *os.File) bool {
	_ = read.SetReadDeadline(time.Now().Add(endLimit))
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
