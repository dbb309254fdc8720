package shard

import (
	"context"
	"time"
)

// sender makes the calls to one server in a goroutine of its own, one at a time, so
// that a slow server does not delay the others.
type sender struct {
	server  *managedServer
	tenures TenureSource
	results chan<- callResult
}

// run makes calls until ctx is done, then closes the connection to the server.
func (s *sender) run(ctx context.Context) {
	defer s.server.target.Server.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.server.calls:
			s.deliver(ctx, s.send(ctx, next))
		}
	}
}

// send makes one call if the tenure still covers it. The tenure is checked immediately
// before the call. If the process pauses in between, the token and the expiry on the
// server's clock fence the message.
func (s *sender) send(ctx context.Context, c call) callResult {
	result := callResult{server: s.server, messageNumber: c.messageNumber}
	tenure := s.tenures.Tenure()
	now := time.Now()
	if !tenure.ValidAt(now, c.margin) || tenure.Token != c.grant.Order.Token {
		result.unsent = true
		return result
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result.response, result.err = s.server.target.Server.Grant(callCtx, c.grant)
	result.receivedAt = time.Now()
	return result
}

func (s *sender) deliver(ctx context.Context, result callResult) {
	select {
	case s.results <- result:
	case <-ctx.Done():
	}
}
