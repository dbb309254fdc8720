package gateway

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// send makes one attempt at the assigned server and reports its end to the scheduler.
func (g *Gateway) send(ctx context.Context, call *Call, state *callState, decision placing.Decision) AttemptResult {
	completion := placing.Completion{AttemptID: decision.AttemptID, Server: decision.Server, Outcome: placing.Unused, ContentHash: state.contentHash}
	g.check.refreshDomains(ctx)
	server := g.registry.Snapshot().Server(decision.Server)
	if server != nil && !g.check.isRecent(server.Incarnation, decision.HeardAt, time.Now()) && !g.check.refresh(ctx, server) {
		// The scheduler spares it for a while, as one that cannot be reached.
		completion.Outcome = settledOutcome(ctx, placing.Unreached)
		g.scheduler.Complete(completion)
		state.sends++
		return AttemptResult{Outcome: placing.Unreached, Detail: "the facts are too old, and the server has not said that it takes new work"}
	}
	maySend := server != nil && g.evidenceToSend(server.Incarnation, decision.HeardAt, time.Now()) != evidenceNone
	if server != nil && !maySend {
		g.scheduler.ReportState(server.Incarnation) // the holder may not know yet what the server has asked
	}
	sentAt := time.Now()
	if !maySend || state.deadline.Sub(sentAt) < minAttemptTime {
		g.scheduler.Complete(completion)
		return AttemptResult{Outcome: placing.Unused, Detail: "the assigned server is no longer usable, or too little time is left"}
	}
	writtenAt := sentAt
	result := g.backends.Send(ctx, server, call, state.deadline, func() bool {
		writtenAt = time.Now()
		state.factsAge, _ = g.registry.Age(writtenAt)
		state.domainsAge, _ = g.registry.DomainsAge(writtenAt)
		shown := g.evidenceToSend(server.Incarnation, decision.HeardAt, writtenAt)
		if shown == evidenceNone || !g.hasSameSender(call, state) {
			return false
		}
		state.writtenAt, state.evidence = writtenAt, shown
		return true
	})
	result.Outcome = settledOutcome(ctx, result.Outcome)
	if result.Open {
		completion.HeardAt = writtenAt
		g.check.hear(server.Incarnation, writtenAt)
	}
	completion.Outcome, completion.Load, completion.Duration = result.Outcome, result.Load, time.Since(sentAt)
	g.scheduler.Complete(completion)
	if result.Outcome == placing.Unused {
		return result
	}
	g.metrics.FactsAge(state.factsAge, state.domainsAge)
	state.server, state.serverDomain = decision.Server, server.Domain
	state.sends++
	if result.Outcome != placing.Unreached {
		g.metrics.Sent(state.evidence.String())
		call.Tried = append(call.Tried, decision.Server)
	}
	return result
}

// evidenceToSend returns what shows that a server, which another instance heard at heardAt, may get
// a request at now, or evidenceNone if it may not. The answer holds for the write that follows at
// once: the facts change while a connection is made.
func (g *Gateway) evidenceToSend(incarnation fleet.Incarnation, heardAt, now time.Time) evidence {
	// Before the snapshot is loaded: a snapshot from before may lack what a later reading has.
	shown := g.check.evidenceOf(incarnation, heardAt, now)
	snapshot := g.registry.Snapshot()
	server := snapshot.Server(incarnation.Name)
	if server == nil || server.Incarnation != incarnation || !snapshot.MaySend(server, now) {
		return evidenceNone
	}
	return shown
}
