package servers

import (
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/key"
)

// requestHandler takes the requests of one incarnation.
type requestHandler struct {
	server  *Server
	life    *life
	control http.Handler
}

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.PathGrant, backend.PathDrain, backend.PathHealth, backend.PathLoad:
		h.control.ServeHTTP(w, r)
		return
	}
	h.server.freezer.wait(h.life.ctx)
	if h.life.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	fault := h.server.takeFault()
	if !fault.runsFirst() {
		resetConnection(w)
		return
	}
	call, err := readCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := h.admit(call); reason != "" {
		h.refuse(w, call, reason)
		return
	}
	h.run(w, r, call, fault)
}

// admit takes a slot, or returns why the server does not run the request.
func (h *requestHandler) admit(c call) string {
	s := h.server
	switch {
	case s.leaving.Load():
		return "draining"
	case s.shedding.Load():
		return "shedding"
	}
	running := h.life.running.Add(1)
	reason := ""
	if running > int64(s.config.Slots) {
		reason = "all slots are taken"
	}
	if refused := s.fenced(c); refused != "" {
		reason = refused
	}
	if reason != "" {
		h.life.running.Add(-1)
	}
	return reason
}

// fenced returns why the order or the key is not accepted now, or "".
func (s *Server) fenced(c call) string {
	held := (*s.holdings.Load())[c.order.Shard]
	if s.refuses(c.order.Token, held) {
		return "token too old"
	}
	if s.config.Keyed && !held.owns(key.HashOf(c.key), s.clock.now()) {
		return "not the owner of the key"
	}
	return ""
}

func (h *requestHandler) refuse(w http.ResponseWriter, c call, reason string) {
	w.Header().Set(backend.HeaderRequestID, c.id)
	w.Header().Set(backend.HeaderIncarnation, h.life.incarnation)
	w.Header().Set(backend.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (h *requestHandler) begin(c call) int {
	return h.server.log.Begin(runlog.Execution{
		RequestID:   c.id,
		Service:     h.server.config.Service,
		Key:         c.key,
		Server:      h.server.config.Name,
		Incarnation: h.life.incarnation,
		Idempotent:  c.idempotent,
		TimeoutMS:   c.timeout.Milliseconds(),
		Start:       time.Now(),
	})
}
