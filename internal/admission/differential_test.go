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

// operation is one step of a sequence of operations on a limiter.
type operation struct {
	Kind      string
	Deadline  int // in milliseconds from now
	Priority  int
	Exclusive bool
	Pick      int
}

// client is one request of the sequence, with its state in the reference model.
type client struct {
	number    int
	deadline  time.Time
	priority  int
	exclusive bool
	cancel    context.CancelFunc
	// slot receives the slot from the tested limiter, or nil for a refusal.
	slot  chan *Slot
	state string
}

// referenceLimiter is the reference model of Limiter, with a sorted slice as its queue.
type referenceLimiter struct {
	slots, limit int
	running      []*client
	waiting      []*client
	pinned       *client
}

func (m *referenceLimiter) arrive(c *client, now time.Time) {
	c.state = "refused"
	if len(m.waiting) == 0 && m.fits(c) {
		m.grant(c)
		return
	}
	if len(m.waiting) >= m.limit || !c.deadline.After(now) {
		return
	}
	c.state = "waiting"
	m.waiting = append(m.waiting, c)
	m.serve()
}

func (m *referenceLimiter) fits(c *client) bool {
	if len(m.running) == 0 {
		return true
	}
	return !c.exclusive && !m.running[0].exclusive && len(m.running) < m.slots
}

func (m *referenceLimiter) grant(c *client) {
	c.state = "granted"
	m.running = append(m.running, c)
}

func (m *referenceLimiter) serve() {
	for len(m.waiting) > 0 {
		slices.SortStableFunc(m.waiting, func(a, b *client) int {
			if a.priority != b.priority {
				return b.priority - a.priority
			}
			return a.deadline.Compare(b.deadline)
		})
		next := m.waiting[0]
		if m.pinned != nil {
			next = m.pinned
		}
		if next.exclusive {
			m.pinned = next
		}
		if !m.fits(next) {
			return
		}
		m.leave(next)
		m.grant(next)
	}
}

func (m *referenceLimiter) leave(c *client) {
	m.waiting = slices.DeleteFunc(m.waiting, func(other *client) bool { return other == c })
	if m.pinned == c {
		m.pinned = nil
	}
}

func (m *referenceLimiter) release(c *client) {
	m.running = slices.DeleteFunc(m.running, func(other *client) bool { return other == c })
	c.state = "released"
	m.serve()
}

func (m *referenceLimiter) quit(c *client) {
	c.state = "refused"
	m.leave(c)
	m.serve()
}

// expire refuses the waiters whose deadlines have passed, earliest first. Waiters with the
// same deadline leave together, so that none is granted a place that another gives up.
func (m *referenceLimiter) expire(now time.Time) {
	for {
		first := now.Add(1)
		for _, c := range m.waiting {
			if c.deadline.Before(first) {
				first = c.deadline
			}
		}
		if first.After(now) {
			return
		}
		for _, c := range slices.Clone(m.waiting) {
			if c.deadline.Equal(first) {
				c.state = "refused"
				m.leave(c)
			}
		}
		m.serve()
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

// runOperations runs plan against a limiter and the reference model and returns their first
// difference.
func runOperations(plan []operation) string {
	const slots, limit = 3, 4
	l := New(Options{Server: "s", Slots: slots, QueueLimit: limit})
	defer l.Close()
	reference := &referenceLimiter{slots: slots, limit: limit}
	var clients []*client
	for _, op := range plan {
		switch op.Kind {
		case "acquire":
			c := &client{number: len(clients), priority: op.Priority, exclusive: op.Exclusive, slot: make(chan *Slot, 1)}
			c.deadline = time.Now().Add(time.Duration(op.Deadline) * time.Millisecond)
			clients = append(clients, c)
			startClient(l, c)
			reference.arrive(c, time.Now())
		case "release":
			if len(reference.running) > 0 {
				c := reference.running[op.Pick%len(reference.running)]
				(<-c.slot).Release(Result{})
				reference.release(c)
			}
		case "cancel":
			if len(reference.waiting) > 0 {
				c := reference.waiting[op.Pick%len(reference.waiting)]
				c.cancel()
				reference.quit(c)
			}
		case "pass":
			time.Sleep(time.Duration(op.Pick) * time.Millisecond)
			reference.expire(time.Now())
		}
		synctest.Wait()
		if difference := compare(l, reference, clients); difference != "" {
			return difference
		}
	}
	for _, c := range clients {
		c.cancel()
	}
	return ""
}

func startClient(l *Limiter, c *client) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	now := time.Now()
	acquire := l.Acquire
	if c.exclusive {
		acquire = l.AcquireExclusive
	}
	go func() {
		slot, _ := acquire(ctx, c.deadline, Priority(c.priority), now)
		c.slot <- slot
	}()
	synctest.Wait()
}

func compare(l *Limiter, reference *referenceLimiter, clients []*client) string {
	if l.Running() != len(reference.running) || l.Waiting() != len(reference.waiting) {
		return fmt.Sprintf("%d run and %d wait, reference %d and %d", l.Running(), l.Waiting(), len(reference.running), len(reference.waiting))
	}
	for _, c := range clients {
		ended := len(c.slot) > 0
		if c.state == "released" {
			continue
		}
		if ended != (c.state != "waiting") {
			return fmt.Sprintf("request %d has ended: %v, reference %s", c.number, ended, c.state)
		}
		if ended && c.state == "granted" {
			slot := <-c.slot
			c.slot <- slot
			if slot == nil {
				return fmt.Sprintf("request %d was refused, reference granted", c.number)
			}
		}
	}
	return ""
}

// Guards against a queue that grants slots in another order than by priority and deadline,
// loses a waiter or a slot, or runs another request beside an exclusive one.
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
