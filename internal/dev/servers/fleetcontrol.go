package servers

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

func (f *Fleet) controlRoutes() *mux.Router {
	routes := mux.NewRouter()
	routes.HandleFunc("/dev/servers", f.serveList).Methods(http.MethodGet)
	routes.HandleFunc("/dev/servers/{name}/{action}", f.serveAction).Methods(http.MethodPost)
	routes.HandleFunc("/dev/owner", f.serveOwner).Methods(http.MethodGet)
	routes.HandleFunc("/dev/runlog", f.serveRecording).Methods(http.MethodGet)
	return routes
}

func (f *Fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	infos := []ServerInfo{}
	for _, name := range f.Names() {
		s := f.servers[name]
		infos = append(infos, ServerInfo{
			Name:        name,
			Service:     s.config.Service,
			Domain:      s.config.Domain,
			Address:     s.Address(),
			Incarnation: s.Incarnation(),
		})
	}
	writeJSON(w, http.StatusOK, infos)
}

// serveOwner responds with the server that owns a key now and the instance that granted it.
func (f *Fleet) serveOwner(w http.ResponseWriter, r *http.Request) {
	service, name := r.URL.Query().Get("service"), r.URL.Query().Get("key")
	server := f.servers[f.monitor.Owner(service, key.HashOf(name), time.Now())]
	if server == nil {
		http.Error(w, "no server owns key "+strconv.Quote(name)+" of service "+strconv.Quote(service), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, KeyOwner{Server: server.config.Name, Holder: server.holder(key.HashOf(name))})
}

func (f *Fleet) serveRecording(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.Recording())
}

// Recording returns all that the servers have recorded.
func (f *Fleet) Recording() Recording {
	executions, droppedExecutions := f.log.Snapshot()
	intervals, droppedIntervals := f.monitor.Intervals()
	return Recording{
		Executions: executions,
		Dropped:    droppedExecutions + droppedIntervals,
		Overlaps:   f.monitor.Overlaps(),
		Intervals:  intervals,
	}
}

func (f *Fleet) serveAction(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	server := f.servers[vars["name"]]
	if server == nil {
		http.Error(w, "no server named "+strconv.Quote(vars["name"]), http.StatusNotFound)
		return
	}
	if err := server.act(vars["action"], r.URL.Query().Get("value")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// act carries out one action of the control endpoint; value is its argument.
func (s *Server) act(action, value string) error {
	switch action {
	case "crash":
		s.Crash()
	case "start":
		return s.ensureStarted()
	case "freeze":
		s.Freeze()
	case "thaw":
		s.Thaw()
	case "cold":
		s.TurnCold()
	case "fault":
		s.FailNext(Fault(value))
	case "leaving":
		return setBool(value, s.SetLeaving)
	case "shedding":
		return setBool(value, s.SetShedding)
	case "mislead":
		return setBool(value, s.setFalseHealth)
	case "slow":
		factor, err := strconv.ParseFloat(value, 64)
		if err != nil || factor < 0 {
			return errors.Errorf("factor %q is not a number of 0 or more", value)
		}
		s.SetSlowdown(factor)
	default:
		return errors.Errorf("unknown action %q; use crash, start, freeze, thaw, cold, fault, leaving, shedding, mislead or slow", action)
	}
	return nil
}

// ensureStarted starts the server unless it is running: RestartAfter may have started it already.
func (s *Server) ensureStarted() error {
	if s.Incarnation() != "" {
		return nil
	}
	return s.Start()
}

func setBool(value string, set func(bool)) error {
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return errors.Errorf("value %q is not true or false", value)
	}
	set(parsed)
	return nil
}

func (s *Server) setFalseHealth(on bool) {
	if !on {
		s.OverrideHealth(nil)
		return
	}
	s.OverrideHealth(&backend.Health{Accepting: true, Incarnation: s.Incarnation()})
}
