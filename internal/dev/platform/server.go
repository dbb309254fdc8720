// Package platform simulates the platform for development and tests: the key-value
// store and the delayed list of instances, over HTTP. The product does not import it.
package platform

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Server serves the HTTP calls of the platform.
type Server struct {
	store  *memstore.Store
	list   *InstanceList
	routes *mux.Router
	// lastCopy is the last copy of the store, or nil.
	lastCopy atomic.Pointer[memstore.Copy]
}

// New returns a platform with an empty store and an empty list.
func New() *Server {
	s := &Server{store: memstore.New(), list: NewInstanceList()}
	s.routes = mux.NewRouter().SkipClean(true).UseEncodedPath()
	s.storeRoutes()
	s.listRoutes()
	s.devRoutes()
	return s
}

// Store returns the store that the calls use.
func (s *Server) Store() *memstore.Store {
	return s.store
}

// InstanceList returns the list of instances.
func (s *Server) InstanceList() *InstanceList {
	return s.list
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.ServeHTTP(w, r)
}

func (s *Server) storeRoutes() {
	s.routes.HandleFunc("/v1/keys", s.listKeys).Methods(http.MethodGet)
	s.routes.HandleFunc("/v1/keys/{key:.*}", s.getKey).Methods(http.MethodGet)
	s.routes.HandleFunc("/v1/keys/{key:.*}", s.putKey).Methods(http.MethodPut)
	s.routes.HandleFunc("/v1/watch/{key:.*}", s.watchKey).Methods(http.MethodGet)
	s.routes.HandleFunc("/v1/leases", s.grantLease).Methods(http.MethodPost)
	s.routes.HandleFunc("/v1/leases/{id}/renew", s.renewLease).Methods(http.MethodPost)
	s.routes.HandleFunc("/v1/leases/{id}", s.revokeLease).Methods(http.MethodDelete)
}
