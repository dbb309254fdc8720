package soak

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/procfs"
)

// processSockets tells the failure domain of the process that has opened a connection. All
// processes of a soak have the same IP address, so only the kernel knows.
type processSockets struct {
	mu      sync.Mutex
	domains map[int]string // by process ID
	// byPorts holds the domains of the connections that existed at scannedAt.
	byPorts   map[portPair]string
	scannedAt time.Time
}

func newProcessSockets() *processSockets {
	return &processSockets{domains: map[int]string{}}
}

// add tells of a process that has been started.
func (s *processSockets) add(pid int, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.domains[pid] = domain
}

// Source implements tcpproxy.Sources. It returns the failure domain of the client.
func (s *processSockets) Source(client, address net.Addr) string {
	asked := time.Now()
	pair := portPair{client.(*net.TCPAddr).Port, address.(*net.TCPAddr).Port}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scannedAt.Before(asked) {
		s.scan()
	}
	return s.byPorts[pair]
}

// scan reads the connections of all processes. It leaves out what cannot be read, as a
// process may end meanwhile.
func (s *processSockets) scan() {
	s.scannedAt = time.Now()
	s.byPorts = map[portPair]string{}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return
	}
	byTarget, err := readConnections()
	if err != nil {
		return
	}
	for pid, domain := range s.domains {
		process, err := fs.Proc(pid)
		if err != nil {
			continue
		}
		targets, err := process.FileDescriptorTargets()
		if err != nil {
			continue
		}
		for _, target := range targets {
			if pair, found := byTarget[target]; found {
				s.byPorts[pair] = domain
			}
		}
	}
}
