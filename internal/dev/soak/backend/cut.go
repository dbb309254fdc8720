package backend

import (
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// SetSourceFaults sets the faults of the connections to this and later incarnations by source.
func (s *Server) SetSourceFaults(faults map[string]tcpproxy.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sourceFaults = faults
	if s.current != nil {
		s.current.proxy.SetSourceFaults(faults)
	}
}

// SetStoreUnreachable sets whether status reports reach the store. Without them the entry
// lapses, and it is back with the next report.
func (s *Server) SetStoreUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnreachable = unreachable
}

func (s *Server) reachesStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeUnreachable
}
