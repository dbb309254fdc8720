package servers

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
)

// control wraps a control endpoint: it does not answer while the server is frozen.
func (s *Server) control(l *life, serve func(*life, http.ResponseWriter, *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.freezer.wait(l.ctx)
		if l.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(backend.HeaderIncarnation, l.incarnation)
		serve(l, w, r)
	})
}

func (s *Server) serveGrant(l *life, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "the grant is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	grant, err := call.Decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, highest := s.accept(l, grant)
	writeJSON(w, status, httpbackend.GrantResponse{
		ClockNS:     int64(s.clock.now()),
		Incarnation: l.incarnation,
		Highest:     highest.String(),
		Running:     int(l.running.Load()),
		Leaving:     s.leaving.Load(),
	})
}

// accept applies a grant and returns the status of the answer and the highest token of the shard.
func (s *Server) accept(l *life, grant backend.Grant) (int, authority.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := *s.holdings.Load()
	held := all[grant.Order.Shard]
	if s.refuses(grant.Order.Token, held) {
		return http.StatusConflict, held.highest
	}
	if grant.Expiry == 0 || l.ctx.Err() != nil {
		return http.StatusOK, held.highest
	}
	if grant.Incarnation != "" && grant.Incarnation != l.incarnation {
		// The expiry refers to the clock of an earlier run.
		return http.StatusOK, held.highest
	}
	if outOfOrder(grant, held) {
		return http.StatusPreconditionFailed, held.highest
	}
	next := holding{
		highest:  grant.Order.Token,
		sequence: grant.Sequence,
		ranges:   grant.Ranges,
		holder:   grant.Order.Holder.Name,
		expiry:   grant.Expiry,
	}
	if grant.Order.Token.Less(held.highest) {
		next.highest = held.highest
	}
	after := all.with(grant.Order.Shard, next)
	s.holdings.Store(&after)
	s.monitor.Set(grant.Order.Shard, s.config.Name, grant.Ranges, time.Now(), s.clock.real(grant.Expiry))
	return http.StatusOK, next.highest
}

func (s *Server) refuses(token authority.Token, held holding) bool {
	return s.config.ChecksTokens && token.Less(held.highest)
}

// outOfOrder reports whether a later grant of the same holder has overtaken this one.
func outOfOrder(grant backend.Grant, held holding) bool {
	return grant.Sequence != 0 && grant.Order.Token == held.highest && grant.Sequence <= held.sequence
}

func (s *Server) serveDrain(_ *life, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "the drain is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	order, err := call.Decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuses(order.Token, (*s.holdings.Load())[order.Shard]) {
		writeJSON(w, http.StatusConflict, struct{}{})
		return
	}
	s.SetLeaving(true)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveHealth(l *life, w http.ResponseWriter, _ *http.Request) {
	health := s.health.get(time.Now())
	health.Incarnation = l.incarnation
	if misled := s.misled.Load(); misled != nil {
		health = *misled
	}
	writeJSON(w, http.StatusOK, httpbackend.HealthResponse(health))
}

func (s *Server) serveLoad(_ *life, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, httpbackend.LoadResponse(s.load.get(time.Now())))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
