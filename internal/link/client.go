package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// Client is a follower's end of a link to a holder.
type Client struct {
	conn   *drpcconn.Conn
	clock  *Clock
	outbox chan *linkpb.Up
	done   chan struct{}
	closed atomic.Bool
}

// Dial connects to the holder at address and joins it. One goroutine calls onDown with
// each message, in order. The clock must be new.
func Dial(ctx context.Context, address string, member Member, clock *Clock, onDown func(*linkpb.Down)) (*Client, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to the holder at %s", address)
	}
	c := &Client{conn: drpcconn.New(raw), clock: clock, outbox: make(chan *linkpb.Up, outboxSize), done: make(chan struct{})}
	stream, err := linkpb.NewDRPCLinkClient(c.conn).Follow(context.Background())
	if member.Known != nil {
		member.Known.TakesParts = true
	}
	if err == nil {
		err = stream.Send(&linkpb.Up{Instance: member.Instance, Domain: member.Domain, Address: member.Address, Processor: member.ProcessorShare, HolderChanges: member.HolderChanges, Stopping: member.Stopping, Ending: member.Ending, Known: member.Known, SentUs: clock.stamp()})
	}
	if err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "join the holder at %s", address)
	}
	go c.receive(stream, onDown)
	go c.send(stream)
	return c, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// AskForHolder asks the instance at address who the holder is. It returns the identity as
// in the key of the holder, or nothing if that instance knows of none.
func AskForHolder(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to the instance at %s", address)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	stream, err := linkpb.NewDRPCLinkClient(conn).Follow(ctx)
	if err == nil {
		err = stream.Send(&linkpb.Up{Question: true})
	}
	if err != nil {
		return nil, errors.Wrapf(err, "ask the instance at %s", address)
	}
	down, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrapf(err, "answer of the instance at %s", address)
	}
	return down.Holder, nil
}

// EncodeTime returns a time by the clock of the holder, or 0 if it cannot be told.
func (c *Client) EncodeTime(at time.Time) int64 {
	return c.clock.encode(at)
}

// Done returns a channel that is closed when the link has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

// Send queues a message without blocking. It returns false if the link has ended or
// the queue is full.
func (c *Client) Send(up *linkpb.Up) bool {
	select {
	case <-c.done:
		return false
	case c.outbox <- up:
		return true
	default:
		return false
	}
}

// Close ends the link.
func (c *Client) Close() {
	if !c.closed.Swap(true) {
		close(c.done)
		_ = c.conn.Close() // the link is not used again
	}
}

func (c *Client) receive(stream linkpb.DRPCLink_FollowClient, onDown func(*linkpb.Down)) {
	defer c.Close()
	var parts partCounter
	for {
		down, err := stream.Recv()
		if err != nil {
			return
		}
		c.clock.observe(down.SentUs, time.Now())
		onDown(down)
		parts.count(down)
		parts.acknowledge(c.Send)
		if down.Proof != 0 {
			c.Send(&linkpb.Up{Proof: down.Proof}) // if this fails, the holder does not count this instance
		}
	}
}

func (c *Client) send(stream linkpb.DRPCLink_FollowClient) {
	defer c.Close()
	idle := time.NewTicker(stampInterval)
	defer idle.Stop()
	for {
		up := &linkpb.Up{}
		select {
		case <-c.done:
			return
		case up = <-c.outbox:
		case <-idle.C:
		}
		up = c.merge(up)
		up.SentUs = c.clock.stamp()
		if err := stream.Send(up); err != nil {
			return
		}
		idle.Reset(stampInterval)
	}
}

// merge adds the messages waiting in the outbox to up.
func (c *Client) merge(up *linkpb.Up) *linkpb.Up {
	for {
		select {
		case more := <-c.outbox:
			up.Asks = append(up.Asks, more.Asks...)
			up.Finishes = append(up.Finishes, more.Finishes...)
			up.Withdrawn = append(up.Withdrawn, more.Withdrawn...)
			up.Backpressure = append(up.Backpressure, more.Backpressure...)
			up.Losses = append(up.Losses, more.Losses...)
			up.Proof = max(up.Proof, more.Proof)
			up.Parts = max(up.Parts, more.Parts)
			up.Stopping, up.Ending = up.Stopping || more.Stopping, up.Ending || more.Ending
			if more.Facts != nil {
				up.Facts, up.ReadUs = more.Facts, more.ReadUs // a later read of the store replaces an earlier one
			}
		default:
			return up
		}
	}
}
