package gateway

import (
	"context"
	"encoding/hex"

	"peridotmoor.org/peridotmoor/internal/events"
)

// keyHashBytes is how much of the digest of a key stands in the log, to tell keys apart.
const keyHashBytes = 4

// sendAuthorized makes attempts until the call is done. A call that has not run, and whose
// credential is not valid any more, is unauthorized whatever else was in its way.
func (g *Gateway) sendAuthorized(ctx context.Context, call *Call, state *callState) Reply {
	reply := g.sendUntilDone(ctx, call, state)
	if (reply.Outcome == OutcomeNotRun || reply.Outcome == OutcomeOverCap) && !g.recheckSender(call, state) {
		return g.unauthorizedReply(call, state.sender.denial, "while it waited")
	}
	return reply
}

// recheckSender checks the credential of the call against the newest configuration before
// an attempt. It reports whether the call is authorized.
func (g *Gateway) recheckSender(call *Call, state *callState) bool {
	if config := g.registry.Snapshot().Config; config != state.sender.config {
		state.sender = reauthorize(config, call)
		state.sender.setOn(call)
	}
	return state.sender.denial == denialNone
}

// hasSameSender reports whether what a server is told of the sender of the call holds by the
// newest configuration. It does so for the write that follows at once: a key may be withdrawn
// while a connection is made.
func (g *Gateway) hasSameSender(call *Call, state *callState) bool {
	config := g.registry.Snapshot().Config
	return config == state.sender.config || reauthorize(config, call).sameSender(state.sender)
}

// unauthorizedReply records the refusal of a call and returns the reply.
func (g *Gateway) unauthorizedReply(call *Call, reason denial, when string) Reply {
	keyHash := ""
	if call.Credential.Given && !call.Credential.Malformed {
		keyHash = hex.EncodeToString(call.Credential.Digest[:keyHashBytes])
	}
	g.metrics.CallUnauthorized(reason.String())
	g.log.Emit(events.CallUnauthorized, "request", call.ID, "reason", reason.String(), "when", when, "key_hash", keyHash, "caller", call.Caller)
	return replyUnauthorized(reason, when)
}
