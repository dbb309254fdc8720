package crashes

import "time"

// Announcer finds what other instances need to know of a memory and have not been told yet.
// The zero value has announced nothing. It is not safe for concurrent use; the memory may
// change meanwhile.
type Announcer struct {
	// announced holds the state of each content that was announced last.
	announced map[uint64]*content
	// changes is the number of changes of the memory before it was last searched.
	changes uint64
	// incomplete is set while there was more to announce than the limit.
	incomplete bool
}

// Next returns the losses to announce at now, of at most limit contents.
func (a *Announcer) Next(m *Memory, now time.Time, limit int) []Loss {
	changes := m.changes.Load()
	if changes == a.changes && !a.incomplete {
		return nil
	}
	a.changes, a.incomplete = changes, false
	announced := map[uint64]*content{}
	var out []Loss
	m.contents.Range(func(key, value any) bool {
		hash, c := key.(uint64), value.(*content)
		old := a.announced[hash]
		switch {
		case old == c || !c.worthTelling(now):
		case limit == 0:
			a.incomplete = true
		default:
			limit--
			out = append(out, c.losses...)
			old = c
		}
		if old != nil {
			announced[hash] = old
		}
		return true
	})
	a.announced = announced
	return out
}
