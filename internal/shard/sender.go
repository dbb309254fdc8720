package shard

import (
	"context"
	"time"
)

// sender makes the calls to one server in its own goroutine, one at a time, so
// that a slow server delays no other.
type sender struct {
	link    *link
	tenures TenureSource
	answers chan<- answer
}

// run makes calls until ctx is done, then closes the connection to the server.
func (s *sender) run(ctx context.Context) {
	defer s.link.target.Server.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.link.calls:
			s.report(ctx, s.make(ctx, next))
		}
	}
}

// make sends one call if the tenure still covers it. The check comes last before
// the send; what a pause after it lets through is fenced by the token and by the
// expiry on the server's clock.
func (s *sender) make(ctx context.Context, c call) answer {
	result := answer{link: s.link, number: c.number}
	tenure := s.tenures.Tenure()
	now := time.Now()
	if !tenure.ValidAt(now, c.margin) || tenure.Token != c.grant.Order.Token {
		result.unsent = true
		return result
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result.answer, result.err = s.link.target.Server.Grant(callCtx, c.grant)
	result.received = time.Now()
	return result
}

func (s *sender) report(ctx context.Context, result answer) {
	select {
	case s.answers <- result:
	case <-ctx.Done():
	}
}
