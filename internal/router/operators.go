package router

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// operatorsHandler serves the operators' endpoint: health and readiness for the load
// balancer, the status for the operators' tool, and the metrics.
func operatorsHandler(ready func() error, status func() Status, metrics http.Handler) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"health": "ok"})
	}).Methods(http.MethodGet)
	m.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"ready": "no", "reason": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"ready": "yes"})
	}).Methods(http.MethodGet)
	m.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, status())
	}).Methods(http.MethodGet)
	m.Handle("/metrics", metrics).Methods(http.MethodGet)
	return m
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
