package platform

import (
	"net/http"

	"peridotmoor.org/peridotmoor/internal/instances/httplist"
)

func (s *Server) listRoutes() {
	s.routes.HandleFunc("/v1/instances", s.listInstances).Methods(http.MethodGet)
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	listed := []httplist.ListedInstance{}
	for _, instance := range s.list.Instances() {
		listed = append(listed, httplist.ListedInstance(instance))
	}
	writeJSON(w, listed)
}
