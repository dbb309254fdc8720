package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// Server accepts the links of other instances.
type Server struct {
	linkpb.DRPCLinkUnimplementedServer
	handler ServerHandler
	traffic *Traffic
}

// NewServer returns a server that passes followers, their messages and questions to handler.
func NewServer(handler ServerHandler) *Server {
	return &Server{handler: handler, traffic: &Traffic{}}
}

// CountIn makes the server count what it sends in t. It must be called before Serve.
func (s *Server) CountIn(t *Traffic) *Server {
	s.traffic = t
	return s
}

// Listen opens the listener for Serve. Its connections are closed when sent bytes remain
// unacknowledged for too long.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: sockopt.UserTimeout(unackedTimeout)}
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, errors.Wrapf(err, "listen for other instances on %s", address)
}

// Serve accepts links until ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := linkpb.DRPCRegisterLink(mux, s); err != nil {
		return errors.Wrap(err, "register the link service")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	server := drpcserver.New(mux)
	var serving sync.WaitGroup
	defer serving.Wait()
	links, cancel := context.WithCancel(ctx)
	defer cancel() // the links end when no more are accepted
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close() // not served any more
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept links of other instances")
		case err != nil:
			time.Sleep(acceptBackoff)
			continue
		}
		serving.Go(func() {
			_ = server.ServeOne(drpcctx.WithTransport(links, conn), conn) // the end of a link is reported by Leave
		})
	}
}

// admit takes the connection of a joined follower out of the bound on connections.
func admit(ctx context.Context) {
	transport, _ := drpcctx.Transport(ctx)
	if a, ok := transport.(admitter); ok {
		a.Admit()
	}
}

var errNotHolder = errors.New("this instance is not the holder; read the key of the holder again")

// Follow serves one link until it ends.
func (s *Server) Follow(stream linkpb.DRPCLink_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive the first message of a link")
	}
	if first.Question {
		return errors.Wrap(stream.Send(&linkpb.Down{Holder: s.handler.Holder()}), "answer a question for the holder")
	}
	clock := NewClock()
	clock.observe(first.SentUs, time.Now())
	outbox := make(chan *linkpb.Down, outboxSize)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	f := &Follower{
		Member: Member{Instance: first.Instance, Domain: first.Domain, Address: first.Address, ProcessorShare: first.Processor, HolderChanges: first.HolderChanges, Stopping: first.Stopping, Ending: first.Ending, Known: first.Known},
		clock:  clock,
		wake:   make(chan struct{}, 1),
		send: func(d *linkpb.Down) bool {
			select {
			case outbox <- d:
				return true
			default:
				return false
			}
		},
		disconnect: func() {
			cancel()
			_ = stream.Close() // the link is not used again
		},
	}
	f.heard(time.Now())
	if !s.handler.Join(f) {
		return errNotHolder
	}
	defer s.handler.Leave(f)
	admit(stream.Context())
	go s.receive(stream, f, cancel)
	for {
		var d *linkpb.Down
		select {
		case <-ctx.Done():
			return nil
		case d = <-outbox:
		case <-f.wake:
			d = &linkpb.Down{}
		}
		d = merge(d, outbox)
		// Facts that were told before a message of the outbox go with it at the latest.
		out := &outgoing{down: d, shared: f.takeFacts(d)}
		if out.shared == nil && proto.Size(d) == 0 {
			continue // the facts went with an earlier message
		}
		d.SentUs = clock.stamp()
		if err := stream.MsgSend(out, outgoingEncoding{}); err != nil {
			return errors.Wrap(err, "send a message to a follower")
		}
		s.traffic.count(out)
	}
}

func (s *Server) receive(stream linkpb.DRPCLink_FollowStream, f *Follower, cancel func()) {
	defer cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		now := time.Now()
		f.heard(now)
		f.clock.observe(up.SentUs, now)
		s.handler.Receive(f, up)
	}
}

// merge adds the messages waiting in the outbox to d.
func merge(d *linkpb.Down, outbox <-chan *linkpb.Down) *linkpb.Down {
	for {
		select {
		case more := <-outbox:
			mergeDown(d, more)
		default:
			return d
		}
	}
}

// mergeDown adds a later message to d.
func mergeDown(d, more *linkpb.Down) {
	d.Verdicts = append(d.Verdicts, more.Verdicts...)
	d.Waiting = append(d.Waiting, more.Waiting...)
	d.Facts = append(d.Facts, more.Facts...)
	d.Losses = append(d.Losses, more.Losses...)
	if len(more.Facts) > 0 {
		d.ReadUs = more.ReadUs
	}
	d.Proof = max(d.Proof, more.Proof)
	if len(more.Peers) > 0 {
		d.Peers = more.Peers
	}
}
