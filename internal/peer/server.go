package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Server serves the calls of other instances.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer
	requests request.Handler
}

// NewServer returns a server that passes forwarded requests to requests.
func NewServer(requests request.Handler) *Server {
	return &Server{requests: requests}
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "register the peer service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}
