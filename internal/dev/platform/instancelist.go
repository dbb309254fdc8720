package platform

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// InstanceList is a list of instances with a delay: a change becomes visible after
// the lag that was set when it was made.
type InstanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]instances.Instance
	// pending holds the changes that are not visible yet, in the order they were made.
	pending []listChange
}

// NewInstanceList returns an empty list without lag.
func NewInstanceList() *InstanceList {
	return &InstanceList{visible: map[string]instances.Instance{}}
}

// SetLag sets after how long later changes become visible.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set adds or replaces an instance.
func (l *InstanceList) Set(instance instances.Instance) {
	l.change(listChange{instance: instance})
}

// Remove removes an instance from the list.
func (l *InstanceList) Remove(name string) {
	l.change(listChange{instance: instances.Instance{Name: name}, removed: true})
}

func (l *InstanceList) change(c listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// Instances returns the visible instances, sorted by name.
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

// advance applies the changes that are due. They become visible in the order they were made.
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
