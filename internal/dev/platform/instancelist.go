package platform

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// InstanceList is the lagging list of instances: a change shows after the lag that was
// set when it was made.
type InstanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]instances.Instance
	// pending holds the changes that do not show yet, in the order they were made.
	pending []listChange
}

// NewInstanceList returns an empty list without lag.
func NewInstanceList() *InstanceList {
	return &InstanceList{visible: map[string]instances.Instance{}}
}

// SetLag sets how long the changes after this call take to show.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set adds or replaces an instance.
func (l *InstanceList) Set(instance instances.Instance) {
	l.change(listChange{instance: instance})
}

// Remove takes an instance off the list.
func (l *InstanceList) Remove(name string) {
	l.change(listChange{instance: instances.Instance{Name: name}, removed: true})
}

func (l *InstanceList) change(c listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// Instances returns what the list shows now, ordered by name.
func (l *InstanceList) Instances() []instances.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	list := make([]instances.Instance, 0, len(l.visible))
	for _, instance := range l.visible {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// advance shows the changes that are due. A change never shows before an earlier one.
func (l *InstanceList) advance(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.removed {
			delete(l.visible, c.instance.Name)
			continue
		}
		l.visible[c.instance.Name] = c.instance
	}
}
