package bench

import (
	"bytes"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ticksPerSecond is the clock tick rate of the times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// processUsage is the resource usage of a process according to /proc.
type processUsage struct {
	// cpuSeconds is the sum of user and system time.
	cpuSeconds float64
	// residentBytes is the size of the resident memory.
	residentBytes float64
	// ioBytes is the number of bytes of all read and write calls, on sockets and files.
	ioBytes float64
}

// readProcessUsage reads the usage of a process.
func readProcessUsage(pid int) (processUsage, error) {
	directory := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(directory + "/stat")
	if err != nil {
		return processUsage{}, errors.Wrap(err, "processor time")
	}
	status, err := os.ReadFile(directory + "/status")
	if err != nil {
		return processUsage{}, errors.Wrap(err, "resident memory")
	}
	cpuSeconds, err := parseStat(stat)
	if err != nil {
		return processUsage{}, err
	}
	residentBytes, err := parseStatus(string(status))
	if err != nil {
		return processUsage{}, err
	}
	ioText, err := os.ReadFile(directory + "/io")
	if err != nil {
		return processUsage{}, errors.Wrap(err, "bytes transferred")
	}
	ioBytes, err := parseIO(string(ioText))
	return processUsage{cpuSeconds: cpuSeconds, residentBytes: residentBytes, ioBytes: ioBytes}, err
}

// parseStat returns the processor time in seconds from /proc/PID/stat. The program name
// in the second field is in parentheses and may contain spaces and parentheses.
func parseStat(stat []byte) (float64, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	// User and system time are fields 14 and 15; fields starts with field 3.
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.Errorf("/proc stat has %d fields after the name", len(fields))
	}
	user, errUser := strconv.ParseInt(string(fields[userField]), 10, 64)
	system, errSystem := strconv.ParseInt(string(fields[systemField]), 10, 64)
	if errUser != nil || errSystem != nil {
		return 0, errors.Errorf("/proc stat has no numbers for processor time: %s", stat)
	}
	return float64(user+system) / ticksPerSecond, nil
}

// parseStatus returns the resident memory in bytes from /proc/PID/status.
func parseStatus(status string) (float64, error) {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return float64(kilobytes << 10), errors.Wrap(err, "VmRSS")
	}
	return 0, errors.New("/proc status has no VmRSS")
}

// parseIO returns the bytes of read and write calls from /proc/PID/io.
func parseIO(ioText string) (float64, error) {
	sum, seen := int64(0), 0
	for line := range strings.Lines(ioText) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, name)
		}
		sum += count
		seen++
	}
	if seen != 2 {
		return 0, errors.New("/proc io has no rchar or no wchar")
	}
	return float64(sum), nil
}
