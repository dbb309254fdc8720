package soak

import (
	"fmt"
	"os"
	"strings"
)

// tcpTable is the kernel's table of IPv4 TCP sockets, as text (proc_pid_net(5)).
const tcpTable = "/proc/net/tcp"

// readConnections returns the ports of all TCP connections, by the target of the link in
// /proc/PID/fd that stands for their socket.
func readConnections() (map[string]portPair, error) {
	text, err := os.ReadFile(tcpTable)
	if err != nil {
		return nil, err
	}
	byTarget := map[string]portPair{}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		var pair portPair
		// Local and remote address and port in hexadecimal; the heading does not fit.
		if _, err := fmt.Sscanf(fields[1]+" "+fields[2], "%8X:%4X %8X:%4X", new(uint32), &pair.local, new(uint32), &pair.remote); err != nil {
			continue
		}
		byTarget["socket:["+fields[9]+"]"] = pair
	}
	return byTarget, nil
}
