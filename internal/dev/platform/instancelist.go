package platform

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// List is the lagging list of instances: a change shows after the lag that was
// set when it was made.
type List struct {
	mu    sync.Mutex
	lag   time.Duration
	shown map[string]instances.Instance
	// pending holds the changes that do not show yet, in the order they were made.
	pending []change
}

// NewList returns an empty list without lag.
func NewList() *List {
	return &List{shown: map[string]instances.Instance{}}
}

// SetLag sets how long the changes after this call take to show.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set adds or replaces an instance.
func (l *List) Set(instance instances.Instance) {
	l.change(change{instance: instance})
}

// Remove takes an instance off the list.
func (l *List) Remove(name string) {
	l.change(change{instance: instances.Instance{Name: name}, removed: true})
}

func (l *List) change(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// Instances returns what the list shows now, ordered by name.
func (l *List) Instances() []instances.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	list := make([]instances.Instance, 0, len(l.shown))
	for _, instance := range l.shown {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// advance shows the changes that are due. A change never shows before an earlier one.
func (l *List) advance(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.removed {
			delete(l.shown, c.instance.Name)
			continue
		}
		l.shown[c.instance.Name] = c.instance
	}
}
