package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/instances"
	"peridotmoor.org/peridotmoor/internal/instances/httplist"
)

func (s *Server) devRoutes() {
	s.routes.HandleFunc("/dev/faults", s.setFaults).Methods(http.MethodPost)
	s.routes.HandleFunc("/dev/instances", s.setInstance).Methods(http.MethodPost)
	s.routes.HandleFunc("/dev/instances/{name}", s.removeInstance).Methods(http.MethodDelete)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var c FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "fault settings are not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(c)
	w.WriteHeader(http.StatusNoContent)
}

// Apply sets the faults that c has a value for.
func (s *Server) Apply(c FaultSettings) {
	if c.Unavailable != nil {
		s.store.Faults().SetUnavailable(*c.Unavailable)
	}
	if c.DelayMS != nil {
		s.store.Faults().SetDelay(time.Duration(*c.DelayMS) * time.Millisecond)
	}
	if c.StaleReads != nil {
		s.store.ServeStaleReads(*c.StaleReads)
	}
	if c.LoseNextResponse {
		s.store.Faults().LoseNextResponse()
	}
	if c.TakeCopy {
		taken := s.store.Copy()
		s.lastCopy.Store(&taken)
	}
	if c.Restore {
		if taken := s.lastCopy.Load(); taken != nil {
			s.store.Restore(*taken)
		}
	}
	if c.ListLagMS != nil {
		s.list.SetLag(time.Duration(*c.ListLagMS) * time.Millisecond)
	}
}

func (s *Server) setInstance(w http.ResponseWriter, r *http.Request) {
	var instance httplist.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.Name == "" {
		http.Error(w, "body is not a JSON instance with a name", http.StatusBadRequest)
		return
	}
	s.list.Set(instances.Instance(instance))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeInstance(w http.ResponseWriter, r *http.Request) {
	s.list.Remove(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}
