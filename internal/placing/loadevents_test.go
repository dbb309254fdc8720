package placing

import (
	"time"
)

// loadEvent is something that happens at a time of the replay.
type loadEvent struct {
	at  time.Time
	seq int
	run func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
