package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Witness makes time-limited promises: while a promise for a shard is in force,
// it refuses claims of other instances. It does no I/O and is used by one
// goroutine.
type Witness struct {
	self     Instance
	ttl      time.Duration
	promises map[key.ShardID]Promise
}

// NewWitness returns a witness without promises. self must have a new
// incarnation.
func NewWitness(self Instance, ttl time.Duration) *Witness {
	return &Witness{self: self, ttl: ttl, promises: map[key.ShardID]Promise{}}
}

// Promise returns the current promise for a shard.
func (w *Witness) Promise(shard key.ShardID) Promise {
	return w.promises[shard]
}

// HandlePromise answers all claims of a request received at now.
func (w *Witness) HandlePromise(now time.Time, request PromiseRequest) PromiseReply {
	reply := PromiseReply{Witness: w.self}
	if request.To != w.self {
		return reply
	}
	reply.Replies = make([]ClaimReply, 0, len(request.Claims))
	for _, claim := range request.Claims {
		reply.Replies = append(reply.Replies, w.decide(now, request.Candidate, claim))
	}
	return reply
}

func (w *Witness) decide(now time.Time, candidate Instance, claim ShardClaim) ClaimReply {
	promise := w.promises[claim.Shard]
	admitted := promise.accepts(candidate, claim.Token, now)
	switch {
	case admitted && claim.Release:
		promise = promise.released(candidate, claim.Token, now)
		w.promises[claim.Shard] = promise
	case admitted:
		promise = promise.granted(candidate, claim, now.Add(w.ttl))
		w.promises[claim.Shard] = promise
	}
	reply := ClaimReply{
		Shard:     claim.Shard,
		Promised:  admitted && !claim.Release,
		Highest:   promise.Highest,
		Remaining: remainingFor(promise, candidate, now),
		Mirrors:   promise.Mirrors,
	}
	if promise.Holder != candidate {
		reply.Holder = promise.Holder
	}
	if claim.Mirrors.Generation == promise.Mirrors.Generation {
		reply.Mirrors.Members = nil
	}
	return reply
}

// remainingFor returns how long candidate must wait for another instance's
// promise to expire.
func remainingFor(p Promise, candidate Instance, now time.Time) time.Duration {
	if p.Holder == candidate || !p.InForce(now) {
		return 0
	}
	return p.Until.Sub(now)
}
