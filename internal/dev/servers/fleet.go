package servers

import (
	"net/http"
	"sort"

	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Fleet is all servers of one process, with their common run log and ownership monitor.
type Fleet struct {
	log     *runlog.Log
	monitor *ownership.Monitor
	servers map[string]*Server
	routes  *mux.Router
}

// NewFleet starts a server for each configuration. On an error it stops those already started.
func NewFleet(configs []Config) (*Fleet, error) {
	f := &Fleet{log: runlog.New(), monitor: ownership.NewMonitor(), servers: map[string]*Server{}}
	for _, config := range configs {
		server := NewServer(config, f.log, f.monitor)
		if err := server.Start(); err != nil {
			f.Close()
			return nil, err
		}
		f.servers[config.Name] = server
	}
	f.routes = f.controlRoutes()
	return f, nil
}

// Server returns the server with this name, or nil.
func (f *Fleet) Server(name string) *Server {
	return f.servers[name]
}

// Names returns the names of all servers, sorted.
func (f *Fleet) Names() []string {
	names := make([]string, 0, len(f.servers))
	for name := range f.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Log returns the run log of all servers.
func (f *Fleet) Log() *runlog.Log {
	return f.log
}

// Monitor returns the ownership monitor of all servers.
func (f *Fleet) Monitor() *ownership.Monitor {
	return f.monitor
}

// Close stops all servers.
func (f *Fleet) Close() {
	for _, server := range f.servers {
		server.Close()
	}
}

// ServeHTTP serves the control endpoints of the fleet.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.routes.ServeHTTP(w, r)
}
