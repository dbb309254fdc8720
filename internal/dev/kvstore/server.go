// Package kvstore simulates the store of the users' platform: it serves the
// published HTTP protocol of that store from memstore, which can inject faults.
package kvstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// defaultPageSize is the maximum number of items per page of a range.
const defaultPageSize = 500

// maxWatchTime bounds how long one watch call waits.
const maxWatchTime = 30 * time.Second

// pathWatch is the path of the calls that wait for a change.
const pathWatch = "/kv-watch"

// Server serves the HTTP protocol of the store.
type Server struct {
	store *memstore.Store
	mux   *mux.Router
	calls atomic.Int64
	// pageSize is lowered by tests.
	pageSize atomic.Int64
	// restoring is held for writing while the store is restored, and for reading by each
	// call, so that a response tells the era in which its call was carried out.
	restoring sync.RWMutex
}

// New returns an empty store.
func New() *Server {
	s := &Server{store: memstore.New(), mux: mux.NewRouter()}
	s.pageSize.Store(defaultPageSize)
	s.mux.HandleFunc("/kv-key", s.get).Methods(http.MethodGet)
	s.mux.HandleFunc("/kv-range", s.list).Methods(http.MethodGet)
	s.mux.HandleFunc(pathWatch, s.watch).Methods(http.MethodGet)
	s.mux.HandleFunc("/kv-txn", s.transact).Methods(http.MethodPost)
	s.mux.HandleFunc("/kv-lease", s.grantLease).Methods(http.MethodPost)
	s.mux.HandleFunc("/kv-keep/{id}", s.renewLease).Methods(http.MethodPost)
	s.mux.HandleFunc("/kv-lease-end/{id}", s.revokeLease).Methods(http.MethodDelete)
	return s
}

// Store returns the memory store behind the protocol.
func (s *Server) Store() *memstore.Store {
	return s.store
}

// CallCount returns the number of calls received.
func (s *Server) CallCount() int64 {
	return s.calls.Load()
}

// SetPageSize sets the maximum number of items per page.
func (s *Server) SetPageSize(n int) {
	s.pageSize.Store(int64(n))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if r.URL.Path != pathWatch { // which waits
		s.restoring.RLock()
		defer s.restoring.RUnlock()
	}
	s.mux.ServeHTTP(eraWriter{ResponseWriter: w, store: s.store}, r)
}

// Restore brings the store back from a copy. Calls under way end before it.
func (s *Server) Restore(c memstore.Copy) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.store.Restore(c)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, itemOf(entry))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	revision := s.store.Revision() // read before the entries, which must not be older than this revision
	entries, err := s.store.List(r.Context(), r.URL.Query().Get("path_prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	after := r.URL.Query().Get("after")
	page := rangePage{Items: []item{}, Revision: revision}
	for _, e := range entries {
		if e.Key <= after {
			continue
		}
		if len(page.Items) == int(s.pageSize.Load()) {
			page.More = true
			break
		}
		page.Items = append(page.Items, itemOf(e))
	}
	writeJSON(w, http.StatusOK, page)
}

// watch waits for a change of one key. Callers poll a prefix of several keys instead.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after or wait_ms is not a valid integer", http.StatusBadRequest)
		return
	}
	if after > s.store.Revision() {
		http.Error(w, "the store has no such revision", http.StatusGone)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(maxWatchTime, time.Duration(wait)*time.Millisecond))
	defer cancel()
	entry, err := s.store.Watch(ctx, r.URL.Query().Get("path_prefix"), after)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		writeJSON(w, http.StatusOK, watchResponse{Events: []item{}})
	case errors.Is(err, store.ErrNotFound):
		writeJSON(w, http.StatusOK, watchResponse{Events: []item{{Key: r.URL.Query().Get("path_prefix"), Tombstone: true}}})
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, watchResponse{Events: []item{itemOf(entry)}})
	}
}

// transact writes one key under one precondition, the only form that the product uses.
func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var c transactionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Preconditions) != 1 || len(c.Puts) != 1 || c.Preconditions[0].Key != c.Puts[0].Key {
		http.Error(w, "only one precondition and one value of the same key are supported", http.StatusBadRequest)
		return
	}
	key := c.Puts[0].Key
	if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
		http.Error(w, "the key is reserved for the platform", http.StatusForbidden)
		return
	}
	lease := store.LeaseID("")
	if c.Puts[0].Lease != 0 {
		lease = leaseID(strconv.FormatInt(c.Puts[0].Lease, 10))
	}
	entry, err := s.store.CompareAndSwap(context.WithoutCancel(r.Context()), key, c.Preconditions[0].Revision, c.Puts[0].Value, lease)
	if errors.Is(err, store.ErrConflict) {
		conflict := transactionResponse{Items: []item{}}
		if entry.Revision > 0 {
			conflict.Items = append(conflict.Items, itemOf(entry))
		}
		writeJSON(w, http.StatusPreconditionFailed, conflict)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, transactionResponse{Revision: entry.Revision})
}

// leasePrefix is what memstore puts before the number of a lease.
const leasePrefix = "lease-"

func leaseID(number string) store.LeaseID {
	return store.LeaseID(leasePrefix + number)
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var c leaseMessage
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.TTL <= 0 {
		http.Error(w, "lease lifetime is missing or not above 0", http.StatusBadRequest)
		return
	}
	id, err := s.store.Grant(context.WithoutCancel(r.Context()), time.Duration(c.TTL*float64(time.Second)))
	if err != nil {
		writeError(w, err)
		return
	}
	c.Lease, err = strconv.ParseInt(strings.TrimPrefix(string(id), leasePrefix), 10, 64)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Renew(context.WithoutCancel(r.Context()), leaseID(mux.Vars(r)["id"])); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, leaseMessage{})
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Revoke(context.WithoutCancel(r.Context()), leaseID(mux.Vars(r)["id"])); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, leaseMessage{})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// writeError writes the status of a typed error. For a response that the store
// lost it closes the connection without one.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
