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
func (s *Server) control(l *incarnation, serve func(*incarnation, http.ResponseWriter, *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.freezer.wait(l.ctx)
		if l.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(backend.HeaderIncarnation, l.id)
		serve(l, w, r)
	})
}

func (s *Server) serveGrant(l *incarnation, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.GrantCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "the grant is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	grant, err := call.Decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, highest := s.applyGrant(l, grant)
	writeJSON(w, status, httpbackend.GrantReply{
		ClockNS:     int64(s.clock.now()),
		Incarnation: l.id,
		Highest:     highest.String(),
		Running:     int(l.running.Load()),
		Leaving:     s.leaving.Load(),
	})
}

// applyGrant applies a grant and returns the status of the answer and the highest token of the shard.
func (s *Server) applyGrant(l *incarnation, grant backend.Grant) (int, authority.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := *s.grants.Load()
	held := all[grant.Order.Shard]
	if s.rejectsToken(grant.Order.Token, held) {
		return http.StatusConflict, held.highest
	}
	if grant.Expiry == 0 || l.ctx.Err() != nil {
		return http.StatusOK, held.highest
	}
	if grant.Incarnation != "" && grant.Incarnation != l.id {
		// The expiry refers to the clock of an earlier run.
		return http.StatusOK, held.highest
	}
	if isOutOfOrder(grant, held) {
		return http.StatusPreconditionFailed, held.highest
	}
	next := shardGrant{
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
	s.grants.Store(&after)
	s.monitor.Set(grant.Order.Shard, s.config.Name, grant.Ranges, time.Now(), s.clock.realTime(grant.Expiry))
	return http.StatusOK, next.highest
}

func (s *Server) rejectsToken(token authority.Token, held shardGrant) bool {
	return s.config.ChecksTokens && token.Less(held.highest)
}

// isOutOfOrder reports whether a later grant of the same holder has overtaken this one.
func isOutOfOrder(grant backend.Grant, held shardGrant) bool {
	return grant.Sequence != 0 && grant.Order.Token == held.highest && grant.Sequence <= held.sequence
}

func (s *Server) serveDrain(_ *incarnation, w http.ResponseWriter, r *http.Request) {
	var call httpbackend.OrderCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, "the drain is not valid JSON: "+err.Error(), http.StatusBadRequest)
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

func (s *Server) serveHealth(l *incarnation, w http.ResponseWriter, _ *http.Request) {
	health := s.health.get(time.Now())
	health.Incarnation = l.id
	if misled := s.healthOverride.Load(); misled != nil {
		health = *misled
	}
	writeJSON(w, http.StatusOK, httpbackend.HealthReply(health))
}

func (s *Server) serveLoad(_ *incarnation, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, httpbackend.LoadReply(s.load.get(time.Now())))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
