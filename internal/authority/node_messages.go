package authority

import "time"

// HandlePromise answers a promise request of another instance, as a witness.
func (n *Node) HandlePromise(now time.Time, request PromiseRequest) PromiseReply {
	if n.retired {
		// Operators declared this instance terminated, and others rely on it:
		// it must not make promises.
		return PromiseReply{Witness: n.self.Instance}
	}
	reply := n.witness.HandlePromise(now, request)
	for i, r := range reply.Replies {
		s := n.shardState(r.Shard)
		config := request.Claims[i].Config
		if r.Promised && config != nil && request.Candidate != n.self.Instance {
			n.updateConfig(now, s, *config)
		}
		if r.Highest != s.acceptedToken {
			s.acceptedToken = r.Highest
			n.effects.AcceptedClaims = append(n.effects.AcceptedClaims, AcceptedClaim{r.Shard, r.Highest, n.witness.Promise(r.Shard).Holder})
		}
		s.observeToken(r.Highest)
		if r.Highest.Epoch > s.config.Epoch {
			n.markConfigOutdated(now, s)
		}
	}
	return reply
}

// PromiseAnswered processes a witness's reply to a request.
func (n *Node) PromiseAnswered(now time.Time, sent OutgoingRequest, reply PromiseReply) {
	if reply.Witness != sent.To.Instance {
		n.observeTermination(now, sent.To.Instance)
		return
	}
	for i, r := range reply.Replies {
		if i < len(sent.Request.Claims) && sent.Request.Claims[i].Shard == r.Shard {
			n.handleClaimReply(now, sent, sent.Request.Claims[i], r)
		}
	}
}

// PromiseFailed processes a failed request. refused means that the connection was refused,
// so that the witness has not got the request; any other failure says nothing.
func (n *Node) PromiseFailed(now time.Time, sent OutgoingRequest, refused bool) {
	if !refused {
		return
	}
	for _, claim := range sent.Request.Claims {
		s := n.shardState(claim.Shard)
		if s.activeClaim == nil && s.pendingClaim != nil && s.pendingClaim.token == claim.Token {
			s.refusals[sent.To.Instance] = waitUnknown
			n.failIfMajorityRefused(now, s)
		}
	}
}

// observeTermination records a proof that the process of i has terminated.
func (n *Node) observeTermination(now time.Time, i Instance) {
	if i == n.self.Instance || n.proofs.HasProof(i) {
		return
	}
	n.proofs.AddObservation(now, i)
	n.markAllDirty()
	n.effects.Events = append(n.effects.Events, Event{Kind: EventInstanceProvenGone, Other: i})
}

func (n *Node) handleClaimReply(now time.Time, sent OutgoingRequest, claim ShardClaim, r ClaimReply) {
	s := n.shardState(r.Shard)
	s.observeToken(r.Highest)
	if r.Highest.Epoch > s.config.Epoch {
		n.markConfigOutdated(now, s)
	}
	// A late reply must not revive an expired tenure: another instance may have
	// held the shard in the meantime.
	n.expireTenure(now, s)
	if claim.Release {
		return
	}
	if !r.Promised {
		n.handleRefusal(now, s, sent.To.Instance, claim, r)
		return
	}
	for _, c := range s.openClaims() {
		if !claim.Token.Less(c.token) {
			c.AddPromise(sent.To.Instance, sent.CreatedAt, r.Mirrors)
		}
	}
	n.concludeCampaign(now, s)
	n.extendTenure(now, s)
	n.clearPreviousWitnesses(now, s)
}

func (n *Node) handleRefusal(now time.Time, s *shardState, from Instance, claim ShardClaim, r ClaimReply) {
	s.refusals[from] = r.Remaining
	if n.expiresSoon(r.Remaining) {
		s.retryClaimsAt = earlierTime(now.Add(r.Remaining), s.retryClaimsAt)
	}
	if s.activeClaim != nil {
		n.raiseToken(now, s, r)
		return
	}
	if s.pendingClaim != nil && claim.Token == s.pendingClaim.token {
		n.failIfMajorityRefused(now, s)
	}
}

// enqueueClaim queues a claim for a member. All claims to one member that
// result from one input are sent in one message.
func (n *Node) enqueueClaim(now time.Time, to Member, claim ShardClaim) {
	outgoing, ok := n.outbox[to.Instance]
	if !ok {
		request := PromiseRequest{Candidate: n.self.Instance, To: to.Instance}
		outgoing = &OutgoingRequest{To: to, Request: request, CreatedAt: now}
		n.outbox[to.Instance] = outgoing
		n.outboxOrder = append(n.outboxOrder, to.Instance)
	}
	outgoing.Request.Claims = append(outgoing.Request.Claims, claim)
}

// flushOutbox passes the queued messages to the driver. Messages to the own
// witness are answered here, which may queue more.
func (n *Node) flushOutbox(now time.Time) {
	for len(n.outboxOrder) > 0 {
		recipients, outbox := n.outboxOrder, n.outbox
		n.outboxOrder, n.outbox = nil, map[Instance]*OutgoingRequest{}
		for _, to := range recipients {
			outgoing := *outbox[to]
			if to == n.self.Instance {
				n.PromiseAnswered(now, outgoing, n.HandlePromise(now, outgoing.Request))
				continue
			}
			n.effects.Requests = append(n.effects.Requests, outgoing)
		}
	}
}
