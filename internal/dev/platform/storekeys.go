package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
)

// maxWatchTime bounds how long one long poll waits.
const maxWatchTime = time.Minute

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	name, ok := readKey(w, r)
	if !ok {
		return
	}
	entry, err := s.store.Get(r.Context(), name)
	writeResult(w, entry, err)
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	entries, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, httpstore.Listed(entries))
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	name, ok := readKey(w, r)
	if !ok {
		return
	}
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not an integer of 0 or more", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body could not be read completely", http.StatusBadRequest)
		return
	}
	lease := store.LeaseID(r.URL.Query().Get("lease"))
	// A write that has started completes even if the client disconnects.
	ctx := context.WithoutCancel(r.Context())
	entry, err := s.store.CompareAndSwap(ctx, name, revision, value, lease)
	if errors.Is(err, store.ErrConflict) {
		writeEntry(w, http.StatusConflict, entry)
		return
	}
	entry.Value = nil
	writeResult(w, entry, err)
}

func (s *Server) watchKey(w http.ResponseWriter, r *http.Request) {
	name, ok := readKey(w, r)
	if !ok {
		return
	}
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || wait < 0 {
		http.Error(w, "after or wait_ms is not an integer of 0 or more", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(maxWatchTime, time.Duration(wait)*time.Millisecond))
	defer cancel()
	entry, err := s.store.Watch(ctx, name, after)
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeResult(w, entry, err)
}

func readKey(w http.ResponseWriter, r *http.Request) (string, bool) {
	name, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil || name == "" {
		http.Error(w, "key is empty or has invalid percent-encoding", http.StatusBadRequest)
		return "", false
	}
	return name, true
}

func writeResult(w http.ResponseWriter, entry store.Entry, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeEntry(w, http.StatusOK, entry)
}

func writeEntry(w http.ResponseWriter, status int, entry store.Entry) {
	w.Header().Set(httpstore.HeaderRevision, strconv.FormatUint(entry.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	_, _ = w.Write(entry.Value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes the status of a typed error. For a response that the store
// lost it closes the connection without one.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
