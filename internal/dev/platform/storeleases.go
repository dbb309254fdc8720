package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/store"
)

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl_ms is not an integer above 0", http.StatusBadRequest)
		return
	}
	id, err := s.store.Grant(context.WithoutCancel(r.Context()), time.Duration(ttl)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]string{"id": string(id)})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	writeLeaseResult(w, s.store.Renew(context.WithoutCancel(r.Context()), leaseOf(r)))
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	writeLeaseResult(w, s.store.Revoke(context.WithoutCancel(r.Context()), leaseOf(r)))
}

func leaseOf(r *http.Request) store.LeaseID {
	return store.LeaseID(mux.Vars(r)["id"])
}

func writeLeaseResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
