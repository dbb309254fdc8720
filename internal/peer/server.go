package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// Server handles the calls of other instances.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer
	handlers Handlers
	meter    Meter
}

// NewServer returns a server that passes calls to handlers and counts its control
// messages in meter.
func NewServer(handlers Handlers, meter Meter) *Server {
	return &Server{handlers: handlers, meter: meter}
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
