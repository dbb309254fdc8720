package servers

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
)

// control wraps a control endpoint: calls are blocked while the server is frozen.
func (s *Server) control(i *incarnation, serve func(*incarnation, http.ResponseWriter, *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.freezer.wait(i.ctx)
		if i.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(backend.HeaderIncarnation, i.id)
		serve(i, w, r)
	})
}

func (s *Server) serveGrant(i *incarnation, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "grant is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	grant, err := call.Decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, highest := s.applyGrant(i, grant)
	writeJSON(w, status, httpbackend.GrantResponse{
		ClockNS:     int64(s.clock.now()),
		Incarnation: i.id,
		Highest:     highest.String(),
		Running:     int(i.running.Load()),
		Leaving:     s.leaving.Load(),
	})
}

// applyGrant applies a grant and returns the status of the response and the highest token seen for the shard.
func (s *Server) applyGrant(i *incarnation, grant backend.Grant) (int, authority.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grants := *s.grants.Load()
	current := grants[grant.Order.Shard]
	if s.rejectsToken(grant.Order.Token, current) {
		return http.StatusConflict, current.highest
	}
	if grant.Expiry == 0 || i.ctx.Err() != nil {
		return http.StatusOK, current.highest
	}
	if grant.Incarnation != "" && grant.Incarnation != i.id {
		// The expiry refers to the clock of an earlier incarnation.
		return http.StatusOK, current.highest
	}
	if isOutOfOrder(grant, current) {
		return http.StatusPreconditionFailed, current.highest
	}
	next := shardGrant{
		highest:  grant.Order.Token,
		sequence: grant.Sequence,
		ranges:   grant.Ranges,
		holder:   grant.Order.Holder.Name,
		expiry:   grant.Expiry,
	}
	if grant.Order.Token.Less(current.highest) {
		next.highest = current.highest
	}
	updated := grants.with(grant.Order.Shard, next)
	s.grants.Store(&updated)
	s.monitor.Set(grant.Order.Shard, s.config.Name, grant.Ranges, time.Now(), s.clock.realTime(grant.Expiry))
	return http.StatusOK, next.highest
}

func (s *Server) rejectsToken(token authority.Token, current shardGrant) bool {
	return s.config.ChecksTokens && token.Less(current.highest)
}

// isOutOfOrder reports whether a later grant of the same holder arrived before this one.
func isOutOfOrder(grant backend.Grant, current shardGrant) bool {
	return grant.Sequence != 0 && grant.Order.Token == current.highest && grant.Sequence <= current.sequence
}

func (s *Server) serveDrain(_ *incarnation, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "drain order is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	order, err := call.Decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.rejectsToken(order.Token, (*s.grants.Load())[order.Shard]) {
		writeJSON(w, http.StatusConflict, struct{}{})
		return
	}
	s.SetLeaving(true)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveHealth(i *incarnation, w http.ResponseWriter, _ *http.Request) {
	health := s.health.get(time.Now())
	health.Incarnation = i.id
	if override := s.healthOverride.Load(); override != nil {
		health = *override
	}
	writeJSON(w, http.StatusOK, httpbackend.HealthResponse(health))
}

func (s *Server) serveLoad(_ *incarnation, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, httpbackend.LoadResponse(s.load.get(time.Now())))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
