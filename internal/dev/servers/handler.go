package servers

import (
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/key"
)

// requestHandler handles the requests of one incarnation.
type requestHandler struct {
	server      *Server
	incarnation *incarnation
	control     http.Handler
}

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.PathGrant, backend.PathDrain, backend.PathHealth, backend.PathLoad:
		h.control.ServeHTTP(w, r)
		return
	}
	h.server.freezer.wait(h.incarnation.ctx)
	if h.incarnation.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	fault := h.server.takeFault()
	if !fault.executesFirst() {
		resetConnection(w)
		return
	}
	call, err := readRequestMeta(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := h.admit(call); reason != "" {
		h.refuse(w, call, reason)
		return
	}
	h.execute(w, r, call, fault)
}

// admit takes a slot, or returns why the server refuses the request.
func (h *requestHandler) admit(c requestMeta) string {
	s := h.server
	switch {
	case s.leaving.Load():
		return "draining"
	case s.shedding.Load():
		return "shedding"
	}
	running := h.incarnation.running.Add(1)
	reason := ""
	if running > int64(s.config.Slots) {
		reason = "all slots are in use"
	}
	if refused := s.refusalReason(c); refused != "" {
		reason = refused
	}
	if reason != "" {
		h.incarnation.running.Add(-1)
	}
	return reason
}

// refusalReason returns why the token or the key of the request is refused now, or "".
func (s *Server) refusalReason(c requestMeta) string {
	granted := (*s.grants.Load())[c.order.Shard]
	if s.rejectsToken(c.order.Token, granted) {
		return "token too old"
	}
	if s.config.Keyed && !granted.owns(key.HashOf(c.key), s.clock.now()) {
		return "not the owner of the key"
	}
	return ""
}

func (h *requestHandler) refuse(w http.ResponseWriter, c requestMeta, reason string) {
	w.Header().Set(backend.HeaderRequestID, c.id)
	w.Header().Set(backend.HeaderIncarnation, h.incarnation.id)
	w.Header().Set(backend.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (h *requestHandler) logStart(c requestMeta) int {
	return h.server.log.Begin(runlog.Execution{
		RequestID:   c.id,
		Service:     h.server.config.Service,
		Key:         c.key,
		Server:      h.server.config.Name,
		Incarnation: h.incarnation.id,
		Idempotent:  c.idempotent,
		TimeoutMS:   c.timeout.Milliseconds(),
		Start:       time.Now(),
	})
}
