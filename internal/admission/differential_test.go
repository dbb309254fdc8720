package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// operation is one step of a sequence against a gate.
type operation struct {
	Kind      string
	Deadline  int // in milliseconds from now
	Priority  int
	Exclusive bool
	Pick      int
}

// client is one request of the sequence.
type client struct {
	number    int
	deadline  time.Time
	priority  int
	exclusive bool
	cancel    context.CancelFunc
	// slot gets the real gate's slot, or nil for a refusal.
	slot  chan *Slot
	state string
}

// referenceLimiter is the gate as a sorted slice.
type referenceLimiter struct {
	slots, limit int
	holders      []*client
	waiting      []*client
	pinned       *client
}

func (n *referenceLimiter) arrive(c *client, now time.Time) {
	c.state = "refused"
	if len(n.waiting) == 0 && n.fits(c) {
		n.grant(c)
		return
	}
	if len(n.waiting) >= n.limit || !c.deadline.After(now) {
		return
	}
	c.state = "waiting"
	n.waiting = append(n.waiting, c)
	n.serve()
}

func (n *referenceLimiter) fits(c *client) bool {
	if len(n.holders) == 0 {
		return true
	}
	return !c.exclusive && !n.holders[0].exclusive && len(n.holders) < n.slots
}

func (n *referenceLimiter) grant(c *client) {
	c.state = "granted"
	n.holders = append(n.holders, c)
}

func (n *referenceLimiter) serve() {
	for len(n.waiting) > 0 {
		slices.SortStableFunc(n.waiting, func(a, b *client) int {
			if a.priority != b.priority {
				return b.priority - a.priority
			}
			return a.deadline.Compare(b.deadline)
		})
		next := n.waiting[0]
		if n.pinned != nil {
			next = n.pinned
		}
		if next.exclusive {
			n.pinned = next
		}
		if !n.fits(next) {
			return
		}
		n.leave(next)
		n.grant(next)
	}
}

func (n *referenceLimiter) leave(c *client) {
	n.waiting = slices.DeleteFunc(n.waiting, func(other *client) bool { return other == c })
	if n.pinned == c {
		n.pinned = nil
	}
}

func (n *referenceLimiter) release(c *client) {
	n.holders = slices.DeleteFunc(n.holders, func(other *client) bool { return other == c })
	c.state = "released"
	n.serve()
}

func (n *referenceLimiter) quit(c *client) {
	c.state = "refused"
	n.leave(c)
	n.serve()
}

// expire refuses the waiters whose deadlines have passed, earliest first. Those
// with the same deadline leave together: none of them gets a slot of another.
func (n *referenceLimiter) expire(now time.Time) {
	for {
		first := now.Add(1)
		for _, c := range n.waiting {
			if c.deadline.Before(first) {
				first = c.deadline
			}
		}
		if first.After(now) {
			return
		}
		for _, c := range slices.Clone(n.waiting) {
			if c.deadline.Equal(first) {
				c.state = "refused"
				n.leave(c)
			}
		}
		n.serve()
	}
}

func operations() *rapid.Generator[[]operation] {
	one := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			Kind:      rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "release", "release", "cancel", "pass"}).Draw(t, "kind"),
			Deadline:  rapid.SampledFrom([]int{-1, 10, 20, 20, 50, 100, 1000}).Draw(t, "deadline"),
			Priority:  rapid.SampledFrom([]int{0, 1}).Draw(t, "priority"),
			Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
			Pick:      rapid.IntRange(0, 100).Draw(t, "pick"),
		}
	})
	return rapid.SliceOfN(one, 1, 60)
}

// runOperations returns the first difference between the gate and the naive version.
func runOperations(plan []operation) string {
	const slots, limit = 3, 4
	g := New(Options{Server: "s", Slots: slots, QueueLimit: limit})
	defer g.Close()
	naive := &referenceLimiter{slots: slots, limit: limit}
	var clients []*client
	for _, op := range plan {
		switch op.Kind {
		case "acquire":
			c := &client{number: len(clients), priority: op.Priority, exclusive: op.Exclusive, slot: make(chan *Slot, 1)}
			c.deadline = time.Now().Add(time.Duration(op.Deadline) * time.Millisecond)
			clients = append(clients, c)
			startClient(g, c)
			naive.arrive(c, time.Now())
		case "release":
			if len(naive.holders) > 0 {
				c := naive.holders[op.Pick%len(naive.holders)]
				(<-c.slot).Release(Result{})
				naive.release(c)
			}
		case "cancel":
			if len(naive.waiting) > 0 {
				c := naive.waiting[op.Pick%len(naive.waiting)]
				c.cancel()
				naive.quit(c)
			}
		case "pass":
			time.Sleep(time.Duration(op.Pick) * time.Millisecond)
			naive.expire(time.Now())
		}
		synctest.Wait()
		if difference := compare(g, naive, clients); difference != "" {
			return difference
		}
	}
	for _, c := range clients {
		c.cancel()
	}
	return ""
}

func startClient(g *Limiter, c *client) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	now := time.Now()
	acquire := g.Acquire
	if c.exclusive {
		acquire = g.AcquireExclusive
	}
	go func() {
		slot, _ := acquire(ctx, c.deadline, Priority(c.priority), now)
		c.slot <- slot
	}()
	synctest.Wait()
}

func compare(g *Limiter, naive *referenceLimiter, clients []*client) string {
	if g.Running() != len(naive.holders) || g.Waiting() != len(naive.waiting) {
		return fmt.Sprintf("%d run and %d wait, naive %d and %d", g.Running(), g.Waiting(), len(naive.holders), len(naive.waiting))
	}
	for _, c := range clients {
		settled := len(c.slot) > 0
		if c.state == "released" {
			continue
		}
		if settled != (c.state != "waiting") {
			return fmt.Sprintf("request %d has ended: %v, naive %s", c.number, settled, c.state)
		}
		if settled && c.state == "granted" {
			slot := <-c.slot
			c.slot <- slot
			if slot == nil {
				return fmt.Sprintf("request %d was refused, naive granted", c.number)
			}
		}
	}
	return ""
}

// Guards against a queue that grants in another order than by priority and
// deadline, loses a waiter or a slot, or lets a request share with an exclusive one.
func TestGateDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := operations().Draw(rt, "plan")
		var difference string
		synctest.Test(t, func(*testing.T) { difference = runOperations(plan) })
		if difference != "" {
			rt.Fatal(difference)
		}
	})
}
