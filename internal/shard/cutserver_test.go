package shard

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// cutServer is a server as an instance in some domain reaches it.
type cutServer struct {
	*fakeServer
	cluster *electedCluster
	// from is the domain of the instance, domain that of the server.
	from, domain string
}

func (s *cutServer) passes(from, to string) (passes, resets bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.cut.passes(from, to), s.cluster.cut.resets
}

// Grant loses the call or its answer in a cut.
func (s *cutServer) Grant(ctx context.Context, g backend.Grant) (backend.GrantResponse, error) {
	passes, resets := s.passes(s.from, s.domain)
	if !passes {
		return s.lost(ctx, resets)
	}
	response, err := s.fakeServer.Grant(ctx, g)
	if passes, resets := s.passes(s.domain, s.from); !passes {
		return s.lost(ctx, resets)
	}
	return response, err
}

func (s *cutServer) lost(ctx context.Context, resets bool) (backend.GrantResponse, error) {
	if resets {
		return backend.GrantResponse{}, errConnectionRefused
	}
	<-ctx.Done()
	return backend.GrantResponse{}, errLostMessage
}
