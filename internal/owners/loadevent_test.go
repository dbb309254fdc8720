package owners_test

import "time"

// loadEvent is something that happens at a point of virtual time.
type loadEvent struct {
	at  time.Time
	run func()
}

// loadEvents is a heap of events, the earliest first.
type loadEvents []loadEvent

func (e loadEvents) Len() int           { return len(e) }
func (e loadEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e loadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)        { *e = append(*e, x.(loadEvent)) }

func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
