package holder

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// fakeClient is the client of an instance without requests of its own.
type fakeClient struct {
	registry *facts.Registry
	heardAt  atomic.Pointer[time.Time]
	// onMessage, if set, is called at the first message from a holder.
	onMessage func()
	messages  atomic.Int64
	fleetSize int
}

func newFakeClient(registry *facts.Registry) *fakeClient {
	c := &fakeClient{registry: registry}
	c.hear()
	return c
}

func (c *fakeClient) hear() {
	now := time.Now()
	c.heardAt.Store(&now)
}

func (c *fakeClient) Attach(link.Link) { c.hear() }

func (c *fakeClient) NewReceiver() (*link.FactsReceiver, func(*linkpb.Down)) {
	receiver := link.NewFactsReceiver(c.registry)
	return receiver, func(down *linkpb.Down) {
		c.hear()
		for _, update := range down.Facts {
			receiver.Apply(update, receiver.DecodeTime(down.ReadUs), time.Now())
		}
		if c.messages.Add(1) == 1 && c.onMessage != nil {
			c.onMessage()
		}
	}
}

func (c *fakeClient) SilentFor(now time.Time) time.Duration { return now.Sub(*c.heardAt.Load()) }
func (c *fakeClient) FleetSize() int                        { return c.fleetSize }
func (c *fakeClient) MaxProcessorShare() float64            { return 0 }
